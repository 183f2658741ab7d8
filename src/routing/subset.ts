/**
 * Assigns each entry a stable subset of bounded size of the upstreams.
 * Every reader of the same list computes the same assignment: pairs of entry and upstream are taken in the order
 * of their hash while both sides have room, so that the arrival or departure of an instance moves few pairs.
 */
import murmurhash from "murmurhash";
import { type InstanceRecord, Role } from "../core/types.js";

interface Assignment {
    subsets: number[][];
    /** Entries that have each upstream in their subset. */
    entryCounts: number[];
}

/** Least number of entries that have an upstream in their subset, where there are as many. */
export const minEntriesPerUpstream = 3;
/** Share by which an upstream may exceed the mean number of entries. */
const maxImbalance = 0.25;

/** Computes the size of subsets that covers every upstream: `size`, or more where entries are few. */
export function computeSubsetSize(size: number, entries: number, upstreams: number): number {
    const covering = Math.ceil(upstreams * Math.min(minEntriesPerUpstream, entries) / Math.max(1, entries));
    return Math.min(upstreams, Math.max(size, covering));
}

/** Computes the most entries that have one upstream in their subset. */
export function computeMaxEntriesPerUpstream(size: number, entries: number, upstreams: number): number {
    const mean = entries * computeSubsetSize(size, entries, upstreams) / Math.max(1, upstreams);
    return Math.min(entries, Math.ceil(mean * (1 + maxImbalance)));
}

/** Assigns upstreams to entries; the result is in the order of `entries`. */
export function assignSubsets(entries: string[], upstreams: string[], size: number): string[][] {
    const subsetSize = computeSubsetSize(size, entries.length, upstreams.length);
    if (subsetSize === upstreams.length) {
        return entries.map(() => [...upstreams]);
    }
    const pairs = listPairs(entries, upstreams);
    const assignment: Assignment = { subsets: entries.map(() => []), entryCounts: upstreams.map(() => 0) };
    assignPairs(assignment, pairs, subsetSize, Math.min(minEntriesPerUpstream, entries.length));
    assignPairs(assignment, pairs, subsetSize, computeMaxEntriesPerUpstream(size, entries.length, upstreams.length));
    return assignment.subsets.map(subset => subset.map(index => upstreams[index]));
}

/** Lists pairs as `entry * upstreams.length + upstream`, in the order of their hash. */
function listPairs(entries: string[], upstreams: string[]): Float64Array {
    const entryHashes = entries.map(name => murmurhash.v3(name));
    const upstreamHashes = upstreams.map(name => murmurhash.v3(name));
    const count = entries.length * upstreams.length;
    const keys = new Float64Array(count);
    for (let pair = 0; pair < count; pair++) {
        const upstream = pair % upstreams.length;
        const score = combineHashes(entryHashes[(pair - upstream) / upstreams.length], upstreamHashes[upstream]);
        keys[pair] = score * count + pair;
    }
    return keys.sort().map(key => key % count);
}

/** Combines two 32-bit hashes into one. */
function combineHashes(a: number, b: number): number {
    let mixed = Math.imul(a ^ (a >>> 16), 0x85ebca6b) ^ b;
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x27d4eb2f);
    return (mixed ^ (mixed >>> 15)) >>> 0;
}

function assignPairs(
    { subsets, entryCounts: holders }: Assignment,
    pairs: Float64Array,
    size: number,
    maxEntries: number,
): void {
    for (const pair of pairs) {
        const upstream = pair % holders.length;
        const subset = subsets[(pair - upstream) / holders.length];
        if (subset.length < size && holders[upstream] < maxEntries && !subset.includes(upstream)) {
            subset.push(upstream);
            holders[upstream] += 1;
        }
    }
}

/** Size of an entry's subset of the upstreams of a pool in its own data centre. */
export const localSubsetSize = 8;
/** Size of an entry's subset of the upstreams of a pool in each other data centre. */
export const remoteSubsetSize = 4;

/**
 * Creates the function that selects the slots which an entry knows and probes: of each pool, a subset of its own data
 * centre's and a smaller one of each other data centre's. The entry takes part also where the list lacks it.
 * The assignment is computed only when instances come or go.
 */
export function createSlotSelector(
    self: { instance: string; dataCentre: string; },
): (instances: InstanceRecord[]) => InstanceRecord[] {
    let lastMembership = "";
    let selected = new Set<string>();
    return instances => {
        const membership = instances.map(i => `${i.instance} ${i.role} ${i.dataCentre} ${i.pool}`).sort().join("\n");
        if (membership !== lastMembership) {
            lastMembership = membership;
            selected = selectInstances(instances, self);
        }
        return instances.filter(record => selected.has(record.instance));
    };
}

function selectInstances(
    instances: InstanceRecord[],
    self: { instance: string; dataCentre: string; },
): Set<string> {
    const entries = listEntries(instances, self);
    const slots = instances.filter(record => record.role === Role.slot && record.pool !== undefined);
    const selected = new Set<string>();
    for (const poolSlots of splitBy(slots, slot => `${slot.pool}\n${slot.dataCentre}`).values()) {
        const { dataCentre } = poolSlots[0];
        const isLocal = dataCentre === self.dataCentre;
        const sharingEntries = entries.filter(entry => (entry.dataCentre === dataCentre) === isLocal).map(e =>
            e.instance
        );
        const size = isLocal ? localSubsetSize : remoteSubsetSize;
        const subsets = assignSubsets(sharingEntries, poolSlots.map(slot => slot.instance).sort(), size);
        subsets[sharingEntries.indexOf(self.instance)].forEach(instance => selected.add(instance));
    }
    return selected;
}

function listEntries(instances: InstanceRecord[], self: { instance: string; dataCentre: string; }) {
    const entries = instances.filter(record => record.role === Role.entry && record.instance !== self.instance);
    return [...entries, self].sort((a, b) => a.instance < b.instance ? -1 : 1);
}

function splitBy<T>(items: T[], getKey: (item: T) => string): Map<string, T[]> {
    const groups = new Map<string, T[]>();
    for (const item of items) {
        const key = getKey(item);
        const group = groups.get(key) ?? [];
        group.push(item);
        groups.set(key, group);
    }
    return groups;
}
