/** Tells the quarantine whether upstreams respond to the prompt of one request or crash as they begin to. */
import type { Frame } from "../wire/messages.js";
import type { PromptHead, PromptQuarantine } from "./promptQuarantine.js";

/** Time after its first data after which a response shows that its prompt does not crash the upstream, in milliseconds. */
const harmlessAfterMs = 250;

export class PromptObserver {
    /** Time at which the current attempt began, in milliseconds. */
    private sentAt = 0;
    private knownCrashes: string[] = [];
    /** Time of the first data of the current attempt, in milliseconds; undefined before it. */
    private beganAt: number | undefined;
    private isHarmless = false;

    constructor(private readonly quarantine: PromptQuarantine, private readonly prompt: PromptHead) {}

    beginAttempt(): void {
        this.sentAt = performance.now();
        this.knownCrashes = this.quarantine.getLatestCrashes();
        this.beganAt = undefined;
        this.isHarmless = false;
    }

    /** Observes a frame of the current attempt; `incarnation` is that of the upstream's slot. */
    observe(frame: Frame, instance: string, incarnation: string | undefined): void {
        const now = performance.now();
        const isData = frame.kind === "data";
        this.beganAt ??= isData ? now : undefined;
        const hasContinued = isData && this.beganAt !== undefined && now - this.beganAt >= harmlessAfterMs;
        const crash = frame.kind === "failed" ? frame.crash : undefined;
        if (this.isHarmless) {
            return;
        }
        const attempt = {
            upstream: { id: `${instance}/${crash ?? incarnation}`, host: "", port: 0, isLeaving: false },
            sentAt: this.sentAt,
            knownCrashes: this.knownCrashes,
            beganAt: this.beganAt ?? now,
        };
        if (hasContinued || frame.kind === "end") {
            this.isHarmless = true;
            this.quarantine.recordAnswer(this.prompt, attempt);
        }
        else if (crash !== undefined) {
            void this.quarantine.recordLoss(this.prompt, attempt);
        }
    }
}
