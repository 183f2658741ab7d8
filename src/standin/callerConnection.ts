/** Connection of a caller that sends one request after another and parses the responses strictly. */
import { ResetDetectingSocket } from "../wire/resetDetectingSocket.js";
import { parseRawResponse, type RawResponse } from "./rawConnection.js";

export class CallerConnection {
    /** Resolves to whether the connection was made. */
    readonly opened: Promise<boolean>;
    isClosed = false;
    private text = "";
    private isReset = false;
    private readonly socket = new ResetDetectingSocket();
    private notify: () => void = () => undefined;

    constructor(host: string, port: number) {
        this.opened = new Promise(resolve => {
            this.socket.on("connect", () => resolve(true));
            this.socket.on("close", () => resolve(false));
        });
        this.socket.on("error", () => this.isReset = true);
        this.socket.on("end", () => this.socket.end());
        this.socket.on("close", () => {
            this.isClosed = true;
            this.notify();
        });
        this.socket.on("data", chunk => {
            this.text += chunk.toString("latin1");
            this.notify();
        });
        this.socket.connect(port, host);
    }

    /** Sends a request; resolves when its response is complete or the connection has closed. */
    send(request: string): Promise<RawResponse> {
        this.text = "";
        this.socket.write(request, "latin1");
        return new Promise(resolve => {
            this.notify = () => {
                const response = parseRawResponse(this.text, this.isReset);
                const isFramed = "content-length" in response.headers || "transfer-encoding" in response.headers;
                if (this.isClosed || (isFramed && response.isComplete)) {
                    this.notify = () => undefined;
                    resolve(response);
                }
            };
            this.notify();
        });
    }

    close(): void {
        this.socket.destroy();
    }
}
