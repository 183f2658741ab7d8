/**
 * Heartbeat datagrams between processes. Each slot sends the state of its rank, whose engine it stands beside, to the
 * leader of its group (`state`), the leader sends the load of all ranks to slots and entries (`vector`), and entries
 * subscribe to it (`presence`).
 */
import { z } from "zod/mini";
import { maxRanks } from "../group/rankTypes.js";
import { WirePositionSchema } from "./logPosition.js";
import { PermitGrantSchema, PermitRequestSchema } from "./permitMessages.js";

/** Next position of a topic that a process would read, and milliseconds since it was known to be the end of the topic. */
const LogPositionSchema = z.tuple([WirePositionSchema, z.number()]);

const LogPositionsSchema = z.object({
    document: LogPositionSchema,
    list: LogPositionSchema,
    /** Missing while the process has not read the topic. */
    quarantine: z.optional(LogPositionSchema),
    /** Time of the sender's clock to which the ages refer, in milliseconds; missing from earlier versions. */
    sentAt: z.optional(z.number()),
});
/** Read positions of a process in the log, by topic. */
export type LogPositions = z.infer<typeof LogPositionsSchema>;

const number = z.number();
const optional = z.optional(z.number());

/** Number of a rank within its group. */
const RankSchema = z.int().check(z.gte(0), z.lt(maxRanks));

const RankReportSchema = z.object({
    epoch: number,
    rank: RankSchema,
    size: z.int().check(z.gte(1), z.lte(maxRanks)),
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

/** Sent by a slot to the leader: state of the slot's rank. */
const RankHeartbeatSchema = z.object({
    kind: z.literal("state"),
    from: z.string(),
    pool: z.string(),
    /** Undefined while the engine does not respond. */
    report: z.optional(RankReportSchema),
    /** Experts on the rank under the active map, by set. */
    experts: z.optional(z.array(z.array(number))),
    /** Expert load since the previous interval, by set and expert; see `encodeExpertLoads`. */
    choices: z.optional(z.string()),
    positions: LogPositionsSchema,
});
/** State of one rank, as its slot sends it to the leader. */
export type RankHeartbeat = z.infer<typeof RankHeartbeatSchema>;

/** Sent by the leader to all slots and entries: state of the group. */
const LeaderHeartbeatSchema = z.object({
    kind: z.literal("vector"),
    from: z.string(),
    pool: z.string(),
    isOpen: z.boolean(),
    epoch: number,
    /** Load of each rank, packed because the leader sends it to every entry over a narrow link; see `packRankLoads`. */
    ranks: z.string(),
    /** Addresses of the entries; omitted from most heartbeats. */
    entries: z.optional(z.array(z.string())),
    entryCount: number,
    positions: LogPositionsSchema,
});
/** State of a group, as its leader sends it to slots and entries. */
export type LeaderHeartbeat = z.infer<typeof LeaderHeartbeatSchema>;

/** Sent by an entry to subscribe to the leader's heartbeats. */
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
/** Any heartbeat, discriminated by `kind`. */
export type Heartbeat = z.infer<typeof HeartbeatSchema>;

/** Heartbeats, and the messages about permits that are sent between the same sockets. */
const DatagramSchema = z.discriminatedUnion("kind", [HeartbeatSchema, PermitRequestSchema, PermitGrantSchema]);
export type Datagram = z.infer<typeof DatagramSchema>;

/** Encodes a datagram as JSON. */
export function encodeDatagram(datagram: Datagram): Buffer {
    return Buffer.from(JSON.stringify(datagram));
}

/** Decodes a datagram; returns undefined if it is not valid. */
export function decodeDatagram(bytes: Buffer): Datagram | undefined {
    try {
        const result = DatagramSchema.safeParse(JSON.parse(bytes.toString()));
        return result.success ? result.data : undefined;
    }
    catch {
        // Any host can send to the port, so datagrams that are not JSON are ignored.
        return undefined;
    }
}

/** Load of one rank. */
export interface RankLoad {
    rank: number;
    /** Requests that are running. */
    running: number;
    /** Requests that are queued. */
    waiting: number;
    /** Time since the load was measured, in milliseconds. */
    ageMs: number;
}

/** Packed size of one rank: a byte each for running requests, waiting requests and age. */
const bytesPerRank = 3;
/** Largest value of a byte. As an age it marks a rank whose load is unknown. */
const maxByte = 255;
/** Resolution of packed ages, in milliseconds. */
const ageUnitMs = 10;

/** Packs rank loads as base64, three bytes per rank in rank order. Large values saturate; missing ranks are unknown. */
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

/** Unpacks rank loads, leaving out ranks whose load is unknown or whose age is at the maximum. */
export function unpackRankLoads(packed: string): RankLoad[] {
    const bytes = Buffer.from(packed, "base64");
    const ranks: RankLoad[] = [];
    for (let at = 0; at + bytesPerRank <= bytes.length; at += bytesPerRank) {
        if (bytes[at + 2] < maxByte) {
            const ageMs = bytes[at + 2] * ageUnitMs;
            ranks.push({ rank: at / bytesPerRank, running: bytes[at], waiting: bytes[at + 1], ageMs });
        }
    }
    return ranks;
}

/** Resolution of the logarithmic scale, in steps per doubling; keeps the error below 5 %. */
const stepsPerDoubling = 10;

/** Encodes expert loads as base64, one byte per expert on a logarithmic scale. */
export function encodeExpertLoads(loads: ArrayLike<number>[]): string {
    const flat = loads.flatMap(set =>
        Array.from(set, count => Math.min(255, Math.round(Math.log2(1 + count) * stepsPerDoubling)))
    );
    return Buffer.from(flat).toString("base64");
}

/** Computes the length of encoded expert loads, in bytes. */
export function computeEncodedLoadLength(sets: number, experts: number): number {
    return Math.ceil(sets * experts / 3) * 4;
}

/** Decodes expert loads into one array per set; `experts` is the number of experts in a set. */
export function decodeExpertLoads(encoded: string, experts: number): number[][] {
    const flat = Array.from(Buffer.from(encoded, "base64"), step => 2 ** (step / stepsPerDoubling) - 1);
    return Array.from(
        { length: Math.floor(flat.length / experts) },
        (ignored, set) => flat.slice(set * experts, (set + 1) * experts),
    );
}
