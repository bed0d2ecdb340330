/** Response of another process at the address of a server, whose own process has ended. */
export class OtherProcessError extends Error {
  override readonly name = "OtherProcessError";

  constructor(serverId: string) {
    super(`Another process responds at the address of server ${serverId}`);
  }
}
