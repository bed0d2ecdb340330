// Proxy in front of one server. It passes everything on, but holds orders back
// that it is told to leave unanswered; they are carried out later.
import { createServer, request } from "node:http";

export class OrderProxy {
  #server = createServer((req, res) => this.#handle(req, res));
  #target = "";
  address = "";
  /** Decides whether an order gets no answer; the order is kept for `carryOut`. */
  mustHold = () => false;
  /** Called with each order that arrives, and what became of it. */
  onOrder = () => {};

  async listen() {
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  /** Sets the address of the server behind the proxy, and returns that of the proxy. */
  getPublicAddress(target) {
    this.#target = target;
    return this.address;
  }

  #handle(req, res) {
    const chunks = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("end", () => {
      const body = Buffer.concat(chunks);
      const call = { method: req.method, url: req.url, headers: req.headers, body };
      if (req.url === "/v1/order") {
        const order = JSON.parse(body.toString("utf8"));
        if (this.mustHold(order, call)) {
          this.onOrder(order, "no answer");
          return;
        }
        this.#forward(call, res, (status) => this.onOrder(order, status));
        return;
      }
      this.#forward(call, res);
    });
  }

  #forward(call, res, onStatus = () => {}) {
    const [host, port] = this.#target.split(":");
    const req = request({
      host,
      port,
      method: call.method,
      path: call.url,
      headers: call.headers,
      agent: false,
    }, (answer) => {
      onStatus(answer.statusCode);
      if (res === undefined) {
        answer.resume();
        return;
      }
      res.writeHead(answer.statusCode, answer.headers);
      answer.pipe(res);
      answer.on("error", () => res.destroy());
      res.on("close", () => req.destroy());
    });
    req.on("error", () => res?.destroy());
    req.end(call.body);
  }

  /** Carries out an order that was held back; its answer goes to nobody. */
  carryOut(call, onStatus) {
    this.#forward(call, undefined, onStatus);
  }
}
