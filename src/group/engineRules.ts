/** What an engine has to do with an order. The stand-ins follow it; operators check their engines against it. */
import { compareBallots, type EngineOrder, type EngineState } from "./types.js";

/** Copies a state, as an answer to an order carries it. */
export function copyEngineState(engine: EngineState): EngineState {
    return { ...engine, hold: engine.hold && { ...engine.hold }, loaded: [...engine.loaded] };
}

type OrderOf<K extends EngineOrder["kind"]> = Extract<EngineOrder, { kind: K; }>;

/** Creates an engine that has no generation and no weights. */
export function createEngineState(): EngineState {
    return { generation: 0, step: 0, loaded: [], stepMs: 0 };
}

export interface EngineChecks {
    /** Whether orders of ballots below the highest one seen are refused. */
    fenced: boolean;
    /** Whether `commit` and `release` have to name the ballot of the hold; every engine has to check this. */
    matchesHolds: boolean;
}

/** Applies an order. */
export function applyOrder(engine: EngineState, order: EngineOrder, checks: EngineChecks): void {
    if (checks.fenced && "ballot" in order) {
        if (compareBallots(order.ballot, engine.fence) < 0) {
            return;
        }
        engine.fence = order.ballot;
    }
    orderHandlers[order.kind](engine, order as never, checks);
}

/** Map that the engine would enter its next step with; undefined while it has to wait. */
export function getNextVersion(engine: EngineState): string | undefined {
    const { hold, step, version } = engine;
    if (hold === undefined || step < hold.step) {
        return version;
    }
    return hold.committed ? hold.version : undefined;
}

/** Enters the next step; a committed hold that is due puts its map in force. */
export function enterStep(engine: EngineState): void {
    const { hold, step } = engine;
    if (hold?.committed === true && step >= hold.step) {
        engine.version = hold.version;
        engine.hold = undefined;
    }
    engine.step += 1;
}

const orderHandlers: {
    [K in EngineOrder["kind"]]: (engine: EngineState, order: OrderOf<K>, checks: EngineChecks) => void;
} = {
    read: () => undefined,
    join: (engine, { generation }) => {
        if (generation > engine.generation) {
            Object.assign(engine, { generation, step: 0, version: undefined, hold: undefined });
        }
    },
    claim: (engine, { ballot }) => {
        if (engine.hold !== undefined && !engine.hold.committed) {
            engine.hold.ballot = ballot;
        }
    },
    load: (engine, { version }) => {
        if (!engine.loaded.includes(version)) {
            engine.loaded.push(version);
        }
    },
    hold: (engine, { ballot, version, step }) => {
        if (engine.hold === undefined && engine.loaded.includes(version)) {
            engine.hold = { ballot, version, step, committed: false };
        }
    },
    commit: (engine, { ballot, version }, { matchesHolds }) => {
        const { hold } = engine;
        if (hold?.version === version && (!matchesHolds || compareBallots(hold.ballot, ballot) === 0)) {
            hold.committed = true;
        }
    },
    release: (engine, { ballot }, { matchesHolds }) => {
        const { hold } = engine;
        if (hold?.committed === false && (!matchesHolds || compareBallots(hold.ballot, ballot) === 0)) {
            engine.hold = undefined;
        }
    },
    drop: (engine, { versions }) => {
        const versionsInUse = [engine.version, engine.hold?.version];
        engine.loaded = engine.loaded.filter(loaded => !versions.includes(loaded) || versionsInUse.includes(loaded));
    },
};
