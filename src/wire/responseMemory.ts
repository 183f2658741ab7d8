/** Memory of a response: what waits to be sent, and what its caller has not read. */
import type { ServerResponse } from "node:http";
import type { MemoryReservation } from "./callerMemory.js";

export class ResponseMemory {
    private bytes = 0;

    /** `countBuffered` returns the number of bytes that have not been written to the response. */
    constructor(
        private readonly response: ServerResponse,
        private readonly reservation: MemoryReservation,
        private readonly countBuffered: () => number,
    ) {
        response.on("drain", () => {
            reservation.recordProgress();
            this.update();
        });
    }

    /** Adjusts the reservation to what is held now. */
    update(): void {
        const bytes = this.response.writableLength + this.countBuffered();
        this.reservation.add(bytes - this.bytes);
        this.bytes = bytes;
    }
}
