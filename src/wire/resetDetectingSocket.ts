/**
 * Client socket that reports a reset of the connection as an error. A reset that arrives together with the last bytes is
 * reported by Node.js as the end of the stream.
 */
import { Socket } from "node:net";

/** Written to a connection that has ended to detect whether it was reset; an empty line, which servers ignore. */
const closeProbe = "\r\n";

/** A write on a connection fails after a reset, and succeeds after an orderly close of the other side. */
export class ResetDetectingSocket extends Socket {
    constructor() {
        super({ allowHalfOpen: true });
    }

    override push(chunk: unknown, encoding?: BufferEncoding): boolean {
        if (chunk) {
            return super.push(chunk, encoding);
        }
        this.write(closeProbe, error => {
            if (error) {
                this.destroy(error);
            }
            else {
                super.push(chunk);
            }
        });
        return false;
    }
}
