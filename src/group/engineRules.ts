/**
 * Reference model of how an engine handles orders (`load`, `hold`, `commit` and others of an expert map). The stand-in
 * engines run it; operators check theirs against it.
 */
import { compareBallots, type EngineOrder, type EngineState } from "./types.js";

/** Copies an engine's state, so that later orders do not change the copy. */
export function copyEngineState(engine: EngineState): EngineState {
    return { ...engine, hold: engine.hold && { ...engine.hold }, loaded: [...engine.loaded] };
}

type OrderOf<K extends EngineOrder["kind"]> = Extract<EngineOrder, { kind: K; }>;

/** Creates the state of an engine that has joined no generation and has loaded no weights. */
export function createEngineState(): EngineState {
    return { generation: 0, step: 0, loaded: [], stepMs: 0 };
}

/** Checks of ballots in orders. */
export interface EngineChecks {
    /** Whether orders of a ballot below the highest one seen are ignored; optional for engines. */
    fenced: boolean;
    /** Whether `commit` and `release` must carry the ballot of the hold; every engine must check this. */
    matchesHolds: boolean;
}

/** Applies an order to the state; an order that a check rejects changes nothing. */
export function applyOrder(engine: EngineState, order: EngineOrder, checks: EngineChecks): void {
    if (checks.fenced && "ballot" in order) {
        if (compareBallots(order.ballot, engine.fence) < 0) {
            return;
        }
        engine.fence = order.ballot;
    }
    orderHandlers[order.kind](engine, order as never, checks);
}

/** Returns the version of the map for the engine's next step; undefined while an uncommitted hold blocks that step. */
export function getNextVersion(engine: EngineState): string | undefined {
    const { hold, step, version } = engine;
    if (hold === undefined || step < hold.step) {
        return version;
    }
    return hold.committed ? hold.version : undefined;
}

/** Enters the next step; a committed hold that has reached its step puts its map in force. */
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
