// Loopback TCP proxy in front of the store. It can silence open connections: nothing more passes on them, and nothing closes them.
import { connect, createServer } from "node:net";

export class StoreProxy {
  connections = new Set();
  #server;

  constructor(storeAddress) {
    const [host, port] = storeAddress.split(":");
    this.#server = createServer((client) => {
      const upstream = connect(Number(port), host);
      const connection = { client, upstream, request: "", isWaiting: false, isSilent: false, openedAtMs: performance.now() };
      this.connections.add(connection);
      client.on("data", (chunk) => {
        if (connection.isSilent) return;
        const line = /^(GET|PUT|POST|DELETE) \S+/.exec(chunk.toString("latin1"));
        if (line !== null) Object.assign(connection, { request: line[0], isWaiting: true });
        upstream.write(chunk);
      });
      upstream.on("data", (chunk) => {
        if (connection.isSilent) return;
        connection.isWaiting = false;
        this.lastAnswerAtMs = performance.now();
        client.write(chunk);
      });
      const close = () => {
        this.connections.delete(connection);
        upstream.destroy();
        if (!connection.isSilent) client.destroy();
      };
      client.on("error", () => {});
      upstream.on("error", () => {});
      client.on("close", () => {
        connection.isSilent = false;
        close();
      });
      upstream.on("close", close);
    });
  }

  async listen() {
    await new Promise((done) => this.#server.listen(0, "127.0.0.1", done));
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  /** Silences the open connections on which a matching request waits for its answer. Returns their requests. */
  silence(pattern) {
    const found = [...this.connections].filter((c) => c.isWaiting && !c.isSilent && pattern.test(c.request));
    for (const connection of found) connection.isSilent = true;
    return found.map(({ request }) => request);
  }

  close() {
    this.#server.close();
    for (const { client, upstream } of this.connections) {
      client.destroy();
      upstream.destroy();
    }
  }
}
