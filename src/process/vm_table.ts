import type { Vm } from "../connection/vm_directory.ts";

/** Holds the newest list of VMs that the platform or a peer gave. */
export class VmTable {
  #byName = new Map<string, Vm>();

  /** Gets all VMs. */
  getVms(): Vm[] {
    return [...this.#byName.values()];
  }

  /**
   * Gets a VM, or undefined when it is not listed.
   *
   * @param name - Name of the VM.
   */
  getVm(name: string): Vm | undefined {
    return this.#byName.get(name);
  }

  /** Gets the entry VMs. */
  getEntryVms(): Vm[] {
    return this.getVms().filter((vm) => vm.role === "entry");
  }

  /** Gets the backend servers. */
  getBackendVms(): Vm[] {
    return this.getVms().filter((vm) => vm.role === "backend");
  }

  /**
   * Replaces the list.
   *
   * @param vms - VMs as the platform lists them.
   */
  replace(vms: readonly Vm[]): void {
    this.#byName = new Map(vms.map((vm) => [vm.name, vm]));
  }
}
