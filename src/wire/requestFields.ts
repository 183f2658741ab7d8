/** Target and header fields of a request that is received. As strings, short fields take several times their length. */
import type { IncomingMessage } from "node:http";
import type { MemoryReservation } from "./callerMemory.js";
import { packFields, unpackFields } from "./packedFields.js";

/** Memory of a parsed field, with the message's index of fields, in bytes. */
const parsedFieldBytes = 180;

/** Target and header fields of one message, and the memory that they take. */
export class RequestFields {
    private packed: Buffer | undefined;
    private reservation: MemoryReservation | undefined;
    private bytes: number;

    constructor(private readonly message: IncomingMessage) {
        this.bytes = this.countParsedBytes();
    }

    /** Counts the fields in a reservation, instead of the one before. */
    transferTo(reservation: MemoryReservation): void {
        this.reservation?.add(-this.bytes);
        this.reservation = reservation;
        reservation.add(this.bytes);
    }

    /** Packs target and fields until `restore`; meanwhile the message has none. */
    pack(): void {
        if (this.packed === undefined) {
            this.packed = packFields([this.message.url ?? "", ...this.message.rawHeaders]);
            this.message.url = "";
            this.clear();
            this.setBytes(this.packed.length);
        }
    }

    /** Gives the message its fields back; does nothing if they are not packed. */
    restore(): void {
        if (this.packed !== undefined) {
            const [target, ...rawHeaders] = unpackFields(this.packed);
            this.message.url = target;
            this.message.rawHeaders = rawHeaders;
            // The parsed headers are computed anew when they are read.
            Reflect.set(this.message, "headers", undefined);
            this.packed = undefined;
            this.setBytes(this.countParsedBytes());
        }
    }

    /** Drops the fields, which are not needed any more. */
    drop(): void {
        this.packed = undefined;
        this.clear();
        this.setBytes(0);
    }

    private clear(): void {
        this.message.rawHeaders = [];
        this.message.headers = {};
    }

    private countParsedBytes(): number {
        const { url = "", rawHeaders } = this.message;
        return url.length + rawHeaders.length / 2 * parsedFieldBytes;
    }

    private setBytes(bytes: number): void {
        this.reservation?.add(bytes - this.bytes);
        this.bytes = bytes;
    }
}
