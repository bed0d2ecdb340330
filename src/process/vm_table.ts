import type { Vm } from "../connection/vm_directory.ts";
import { getHash32 } from "../shared/rendezvous_hash.ts";

/** Stores the newest VM list, which is read from the platform by this daemon or by a peer. */
export class VmTable {
  #byName = new Map<string, Vm>();
  #entryVms: Vm[] = [];
  #digest = 0;
  #readAtMs = Number.NEGATIVE_INFINITY;

  /** Gets all VMs. */
  getVms(): Vm[] {
    return [...this.#byName.values()];
  }

  /**
   * Gets a VM, or undefined if it is not listed.
   *
   * @param name - Name of the VM.
   */
  getVm(name: string): Vm | undefined {
    return this.#byName.get(name);
  }

  /** Gets the entry VMs, which run the daemons. */
  getEntryVms(): Vm[] {
    return [...this.#entryVms];
  }

  /** Gets the backend servers. */
  getBackendVms(): Vm[] {
    return this.getVms().filter((vm) => vm.role === "backend");
  }

  /** Gets a hash of the list, which is the same for equal lists in any order. */
  getDigest(): number {
    return this.#digest;
  }

  /** Gets the time since the list was read from the platform, in milliseconds; infinite before the first list. */
  getAgeMs(): number {
    return performance.now() - this.#readAtMs;
  }

  /**
   * Replaces the list, unless the new list was read before the current one.
   *
   * @param vms - VMs of the new list.
   * @param ageMs - Time since the list was read from the platform, in milliseconds.
   */
  replace(vms: readonly Vm[], ageMs = 0): void {
    const readAtMs = performance.now() - ageMs;
    if (readAtMs < this.#readAtMs) {
      return;
    }
    this.#readAtMs = readAtMs;
    const digest = getListDigest(vms);
    if (digest === this.#digest && vms.length === this.#byName.size) {
      return;
    }
    this.#digest = digest;
    this.#byName = new Map(vms.map((vm) => [vm.name, vm]));
    this.#entryVms = this.getVms().filter((vm) => vm.role === "entry");
  }
}

function getListDigest(vms: readonly Vm[]): number {
  const lines = vms.map((vm) =>
    [vm.name, vm.role, vm.address, vm.zone, vm.fabricDomain, vm.state].join()
  );
  return getHash32(lines.sort().join("|"));
}
