/**
 * Client socket that reports a reset of the connection as an error. Node.js reports a reset that arrives together with
 * the last bytes as the end of the stream, and undici takes an error with the code `ECONNRESET` for the end of a response
 * that ends with its connection.
 */
import { Socket } from "node:net";
import { CallError } from "../core/errors.js";

/** Written to a connection that has ended to detect whether it was reset; an empty line, which servers ignore. */
const closeProbe = "\r\n";

type ErrorCallback = (error?: Error | null) => void;

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

    override _write(chunk: Buffer, encoding: BufferEncoding, callback: ErrorCallback): void {
        super._write(chunk, encoding, error => callback(replaceResetError(error)));
    }

    override _writev(chunks: Parameters<NonNullable<Socket["_writev"]>>[0], callback: ErrorCallback): void {
        super._writev!(chunks, error => callback(replaceResetError(error)));
    }

    override _destroy(error: Error | null, callback: ErrorCallback): void {
        super._destroy(replaceResetError(error) ?? error, callback);
    }
}

function replaceResetError(error: NodeJS.ErrnoException | null | undefined): Error | null | undefined {
    return error?.code === "ECONNRESET" ? new CallError("the connection was reset") : error;
}
