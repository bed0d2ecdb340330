import type {
  LoanBatch,
  LoanBatchResponse,
  LoanChannel,
  SettlementRequest,
  SettlementResponse,
} from "../process/admission/loan_messages.ts";
import type { VmTable } from "../process/vm_table.ts";
import type { PeerClient, PeerClients } from "./peer_clients.ts";

/** Loan channel that sends the messages to the peer ports of the other daemons. */
export class PeerLoanChannel implements LoanChannel {
  readonly #peerClients: PeerClients;
  readonly #vmTable: VmTable;

  constructor(options: { peerClients: PeerClients; vmTable: VmTable }) {
    this.#peerClients = options.peerClients;
    this.#vmTable = options.vmTable;
  }

  async sendLoans(peer: string, batch: LoanBatch): Promise<LoanBatchResponse> {
    return await this.#getClientOrThrow(peer).admission.exchangeLoans.mutate(
      batch,
    );
  }

  async sendSettlement(
    peer: string,
    request: SettlementRequest,
  ): Promise<SettlementResponse> {
    return await this.#getClientOrThrow(peer).admission.settle.mutate(request);
  }

  #getClientOrThrow(peer: string): PeerClient {
    const address = this.#vmTable.getVm(peer)?.address;
    if (address === undefined) {
      throw new Error(`The entry VM "${peer}" is not in the VM list`);
    }
    return this.#peerClients.getClient(address);
  }
}
