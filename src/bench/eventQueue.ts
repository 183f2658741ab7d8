/** Queue of timed events for drivers with a clock of their own. */

interface TimedEvent {
    at: number;
    sequence: number;
    run: () => void;
}

export class EventQueue {
    /** Time of the event that runs, in milliseconds. */
    now = 0;
    private heap: TimedEvent[] = [];
    private nextSequence = 0;

    /** Runs `run` after `delayMs`; events of the same time run in the order of their scheduling. */
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

    /** Runs events until none is left or `limitMs` is reached. */
    run(limitMs = Infinity): void {
        while (this.heap.length > 0 && this.heap[0].at <= limitMs) {
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
