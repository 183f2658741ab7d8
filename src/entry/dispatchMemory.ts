/** Memory that a request holds from its first attempt to the end of its response. */
import { HoldingStage } from "../routing/memoryAccount.js";
import { countJsonBytes } from "../wire/jsonSize.js";
import { ResponseMemory } from "../wire/responseMemory.js";
import { countBufferedBytes } from "./relay.js";
import type { Exchange } from "./types.js";

export class DispatchMemory {
    private readonly response: ResponseMemory;
    private messageBytes = 0;

    constructor(private readonly exchange: Exchange) {
        const { response, reservation } = exchange;
        this.response = new ResponseMemory(response, reservation, () => countBufferedBytes(response));
    }

    /** Adds the message to a slot; returns false if the request was given up, as the process is short of memory. */
    addMessage(): boolean {
        const { body, reservation } = this.exchange;
        this.messageBytes = countJsonBytes(body);
        const isAdmitted = reservation.add(this.messageBytes);
        reservation.setStage(HoldingStage.running);
        return isAdmitted;
    }

    releaseMessage(): void {
        this.exchange.reservation.add(-this.messageBytes);
        this.messageBytes = 0;
    }

    updateResponse(): void {
        this.response.update();
    }

    /** Releases the body of a request that is not sent any more. */
    releaseBody(): void {
        const { body, reservation } = this.exchange;
        reservation.setStage(HoldingStage.responding);
        reservation.add(-body.length);
        this.exchange.body = Buffer.alloc(0);
        this.response.update();
    }
}
