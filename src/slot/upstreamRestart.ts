/** Watches an upstream that has said something of itself, which holds until the upstream is replaced at its address. */
import { pollEvery } from "../core/streams.js";

/** Interval between two checks, in milliseconds; shorter than an upstream takes to start. */
const checkIntervalMs = 200;

export interface RestartWatchOptions {
    /** Whether the upstream has said something that a restart takes back. */
    isNoticed: () => boolean;
    /** Whether the upstream refuses connections. */
    isRefused: () => Promise<boolean>;
    /** Called when the upstream accepts connections again after it has refused them. */
    onRestart: () => void;
}

/** Checks the upstream while it is noticed, until the process ends. */
export function watchUpstreamRestart({ isNoticed, isRefused, onRestart }: RestartWatchOptions): void {
    let hasRefused = false;
    const check = async () => {
        if (!isNoticed()) {
            hasRefused = false;
            return;
        }
        if (await isRefused()) {
            hasRefused = true;
        }
        else if (hasRefused) {
            hasRefused = false;
            onRestart();
        }
    };
    void pollEvery(checkIntervalMs, check, () => undefined).drain();
}
