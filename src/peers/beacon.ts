/** Datagrams between processes: state of a rank to the lead, the lead's vector to everyone, an entry's presence. */
import { z } from "zod/mini";

/** How far a process has read a topic, and the age of the knowledge that this is its end, in milliseconds. */
const PositionSchema = z.tuple([z.number(), z.number()]);

const PositionsSchema = z.object({ document: PositionSchema, list: PositionSchema });
export type Positions = z.infer<typeof PositionsSchema>;

const number = z.number();
const optional = z.optional(z.number());

const ReportSchema = z.object({
    epoch: number,
    rank: number,
    size: number,
    isOpen: z.boolean(),
    step: number,
    mapVersion: number,
    preparedVersion: optional,
    armed: z.optional(z.object({ version: number, step: number })),
    heldStep: optional,
    running: number,
    queued: number,
    memoryShare: number,
    pace: number,
});

/** A slot tells the lead of its rank. */
const StateSchema = z.object({
    kind: z.literal("state"),
    from: z.string(),
    pool: z.string(),
    /** Undefined while the engine does not answer. */
    report: z.optional(ReportSchema),
    /** Experts of the rank by set, for the map in force. */
    experts: z.optional(z.array(z.array(number))),
    /** Choices since the last state, by set and expert, as base64 of logarithmic bytes. */
    choices: z.optional(z.string()),
    positions: PositionsSchema,
});
export type StateBeacon = z.infer<typeof StateSchema>;

/** The lead tells everyone of all ranks. */
const VectorSchema = z.object({
    kind: z.literal("vector"),
    from: z.string(),
    pool: z.string(),
    isOpen: z.boolean(),
    epoch: number,
    /** Upstream, running requests, waiting requests, and the age of these in milliseconds. */
    ranks: z.array(z.tuple([z.string(), number, number, number])),
    /** Addresses of the entries; left out of most vectors. */
    entries: z.optional(z.array(z.string())),
    entryCount: number,
    positions: PositionsSchema,
});
export type VectorBeacon = z.infer<typeof VectorSchema>;

/** An entry tells that it wants vectors. */
const PresenceSchema = z.object({
    kind: z.literal("presence"),
    /** Address of the entry's machine. */
    host: z.string(),
    positions: PositionsSchema,
});

const BeaconSchema = z.discriminatedUnion("kind", [StateSchema, VectorSchema, PresenceSchema]);
export type Beacon = z.infer<typeof BeaconSchema>;

/** Encodes a datagram. */
export function encodeBeacon(beacon: Beacon): Buffer {
    return Buffer.from(JSON.stringify(beacon));
}

/** Decodes a datagram; undefined when it is not one of ours. */
export function decodeBeacon(bytes: Buffer): Beacon | undefined {
    try {
        const result = BeaconSchema.safeParse(JSON.parse(bytes.toString()));
        return result.success ? result.data : undefined;
    }
    catch {
        // Anyone may send to the port; what is no JSON is no beacon.
        return undefined;
    }
}

/** Steps of the logarithmic scale for each doubling; the error stays under 5 %. */
const stepsPerDoubling = 10;

/** Encodes counts as one byte each, on a logarithmic scale. */
export function encodeChoices(sets: ArrayLike<number>[]): string {
    const flat = sets.flatMap(set =>
        Array.from(set, count => Math.min(255, Math.round(Math.log2(1 + count) * stepsPerDoubling)))
    );
    return Buffer.from(flat).toString("base64");
}

/** Decodes counts of `experts` for each set. */
export function decodeChoices(text: string, experts: number): number[][] {
    const flat = Array.from(Buffer.from(text, "base64"), step => 2 ** (step / stepsPerDoubling) - 1);
    return Array.from(
        { length: Math.floor(flat.length / experts) },
        (ignored, set) => flat.slice(set * experts, (set + 1) * experts),
    );
}
