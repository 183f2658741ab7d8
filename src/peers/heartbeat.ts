/** Datagrams between processes: state of a rank to the lead, the lead's vector to everyone, an entry's presence. */
import { z } from "zod/mini";

/** How far a process has read a topic, and the age of the knowledge that this is its end, in milliseconds. */
const LogPositionSchema = z.tuple([z.number(), z.number()]);

const LogPositionsSchema = z.object({ document: LogPositionSchema, list: LogPositionSchema });
export type LogPositions = z.infer<typeof LogPositionsSchema>;

const number = z.number();
const optional = z.optional(z.number());

const RankReportSchema = z.object({
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
const RankHeartbeatSchema = z.object({
    kind: z.literal("state"),
    from: z.string(),
    pool: z.string(),
    /** Undefined while the engine does not answer. */
    report: z.optional(RankReportSchema),
    /** Experts of the rank by set, for the map in force. */
    experts: z.optional(z.array(z.array(number))),
    /** Choices since the last state, by set and expert, as base64 of logarithmic bytes. */
    choices: z.optional(z.string()),
    positions: LogPositionsSchema,
});
export type RankHeartbeat = z.infer<typeof RankHeartbeatSchema>;

/** The lead tells everyone of all ranks. */
const LeaderHeartbeatSchema = z.object({
    kind: z.literal("vector"),
    from: z.string(),
    pool: z.string(),
    isOpen: z.boolean(),
    epoch: number,
    /** Requests of each rank, packed, since the lead sends this to every entry over a narrow link; see `packRanks`. */
    ranks: z.string(),
    /** Addresses of the entries; left out of most vectors. */
    entries: z.optional(z.array(z.string())),
    entryCount: number,
    positions: LogPositionsSchema,
});
export type LeaderHeartbeat = z.infer<typeof LeaderHeartbeatSchema>;

/** An entry tells that it wants vectors. */
const EntryHeartbeatSchema = z.object({
    kind: z.literal("presence"),
    /** Address of the entry's machine. */
    host: z.string(),
    positions: LogPositionsSchema,
});

const HeartbeatSchema = z.discriminatedUnion("kind", [
    RankHeartbeatSchema,
    LeaderHeartbeatSchema,
    EntryHeartbeatSchema,
]);
export type Heartbeat = z.infer<typeof HeartbeatSchema>;

/** Encodes a datagram. */
export function encodeHeartbeat(beacon: Heartbeat): Buffer {
    return Buffer.from(JSON.stringify(beacon));
}

/** Decodes a datagram; undefined when it is not one of ours. */
export function decodeHeartbeat(bytes: Buffer): Heartbeat | undefined {
    try {
        const result = HeartbeatSchema.safeParse(JSON.parse(bytes.toString()));
        return result.success ? result.data : undefined;
    }
    catch {
        // Anyone may send to the port; what is no JSON is no beacon.
        return undefined;
    }
}

/** Requests of one rank, and the age of these figures in milliseconds. */
export interface RankLoad {
    rank: number;
    running: number;
    waiting: number;
    ageMs: number;
}

/** Bytes of one rank in a vector: running requests, waiting requests, age. */
const bytesPerRank = 3;
/** Largest value of a byte; as an age it stands for figures that are missing. */
const maxByte = 255;
/** Unit of the ages, in milliseconds. */
const ageUnitMs = 10;

/** Packs the requests of ranks as three bytes each, in the order of the ranks, as base64. */
export function packRankLoads(ranks: RankLoad[]): string {
    const count = Math.max(0, ...ranks.map(({ rank }) => rank + 1));
    const bytes = Buffer.alloc(count * bytesPerRank, maxByte);
    for (const { rank, running, waiting, ageMs } of ranks) {
        bytes[rank * bytesPerRank] = Math.min(maxByte, running);
        bytes[rank * bytesPerRank + 1] = Math.min(maxByte, waiting);
        bytes[rank * bytesPerRank + 2] = Math.min(maxByte, Math.round(ageMs / ageUnitMs));
    }
    return bytes.toString("base64");
}

/** Unpacks the requests of ranks; figures that are missing or older than the unit can tell are left out. */
export function unpackRankLoads(text: string): RankLoad[] {
    const bytes = Buffer.from(text, "base64");
    const ranks: RankLoad[] = [];
    for (let at = 0; at + bytesPerRank <= bytes.length; at += bytesPerRank) {
        if (bytes[at + 2] < maxByte) {
            const ageMs = bytes[at + 2] * ageUnitMs;
            ranks.push({ rank: at / bytesPerRank, running: bytes[at], waiting: bytes[at + 1], ageMs });
        }
    }
    return ranks;
}

/** Steps of the logarithmic scale for each doubling; the error stays under 5 %. */
const stepsPerDoubling = 10;

/** Encodes counts as one byte each, on a logarithmic scale. */
export function encodeExpertLoads(sets: ArrayLike<number>[]): string {
    const flat = sets.flatMap(set =>
        Array.from(set, count => Math.min(255, Math.round(Math.log2(1 + count) * stepsPerDoubling)))
    );
    return Buffer.from(flat).toString("base64");
}

/** Length of encoded counts, in bytes. */
export function computeEncodedLoadLength(sets: number, experts: number): number {
    return Math.ceil(sets * experts / 3) * 4;
}

/** Decodes counts of `experts` for each set. */
export function decodeExpertLoads(text: string, experts: number): number[][] {
    const flat = Array.from(Buffer.from(text, "base64"), step => 2 ** (step / stepsPerDoubling) - 1);
    return Array.from(
        { length: Math.floor(flat.length / experts) },
        (ignored, set) => flat.slice(set * experts, (set + 1) * experts),
    );
}
