/** Event queue of discrete-event simulations. */

interface TimedEvent {
    at: number;
    /** Breaks ties between events of the same time. */
    sequence: number;
    run: () => void;
}

export class EventQueue {
    /** Simulated time: that of the event that is running, in milliseconds. */
    now = 0;
    /** Binary heap with the earliest event at index 0. */
    private heap: TimedEvent[] = [];
    private nextSequence = 0;

    /** Schedules `run` after `delayMs`; events of the same time run in the order in which they were scheduled. */
    schedule(delayMs: number, run: () => void): void {
        const event = { at: this.now + delayMs, sequence: this.nextSequence++, run };
        let index = this.heap.push(event) - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!isBefore(event, this.heap[parent])) {
                break;
            }
            this.heap[index] = this.heap[parent];
            index = parent;
        }
        this.heap[index] = event;
    }

    /** Runs events until none is left or the next one is later than the time `untilMs`. */
    run(untilMs = Infinity): void {
        while (this.heap.length > 0 && this.heap[0].at <= untilMs) {
            const event = this.takeFirst();
            this.now = event.at;
            event.run();
        }
    }

    private takeFirst(): TimedEvent {
        const first = this.heap[0];
        const last = this.heap.pop()!;
        if (this.heap.length > 0) {
            this.insertFromRoot(last);
        }
        return first;
    }

    private insertFromRoot(event: TimedEvent): void {
        let index = 0;
        for (;;) {
            const left = 2 * index + 1;
            const right = left + 1;
            if (left >= this.heap.length) {
                break;
            }
            const child = right < this.heap.length && isBefore(this.heap[right], this.heap[left]) ? right : left;
            if (!isBefore(this.heap[child], event)) {
                break;
            }
            this.heap[index] = this.heap[child];
            index = child;
        }
        this.heap[index] = event;
    }
}

function isBefore(a: TimedEvent, b: TimedEvent): boolean {
    return a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
}
