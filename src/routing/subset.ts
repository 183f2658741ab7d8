/**
 * Assigns each entry a stable subset of bounded size of the upstreams.
 * Every reader of the same list computes the same assignment: pairs of entry and upstream are taken in the order
 * of their hash while both sides have room, so that the arrival or departure of an instance moves few pairs.
 */
import murmurhash from "murmurhash";
import { type InstanceRecord, Role } from "../core/types.js";

interface Pair {
    entry: number;
    upstream: number;
    score: number;
}

interface Matching {
    subsets: number[][];
    /** Entries that have each upstream in their subset. */
    holders: number[];
}

/** Least number of entries that have an upstream in their subset, where there are as many. */
export const minHolders = 3;
/** Share by which an upstream may exceed the mean number of entries. */
const slack = 0.25;

/** Computes the size of subsets that covers every upstream: `size`, or more where entries are few. */
export function computeSubsetSize(size: number, entries: number, upstreams: number): number {
    const covering = Math.ceil(upstreams * Math.min(minHolders, entries) / Math.max(1, entries));
    return Math.min(upstreams, Math.max(size, covering));
}

/** Computes the most entries that have one upstream in their subset. */
export function computeMaxHolders(size: number, entries: number, upstreams: number): number {
    const mean = entries * computeSubsetSize(size, entries, upstreams) / Math.max(1, upstreams);
    return Math.min(entries, Math.ceil(mean * (1 + slack)));
}

/** Assigns upstreams to entries; the result is in the order of `entries`. */
export function assignSubsets(entries: string[], upstreams: string[], size: number): string[][] {
    const bound = computeSubsetSize(size, entries.length, upstreams.length);
    if (bound === upstreams.length) {
        return entries.map(() => [...upstreams]);
    }
    const pairs = listPairs(entries, upstreams);
    const matching: Matching = { subsets: entries.map(() => []), holders: upstreams.map(() => 0) };
    takePairs(matching, pairs, bound, Math.min(minHolders, entries.length));
    takePairs(matching, pairs, bound, computeMaxHolders(size, entries.length, upstreams.length));
    return matching.subsets.map(subset => subset.map(index => upstreams[index]));
}

function listPairs(entries: string[], upstreams: string[]): Pair[] {
    const pairs: Pair[] = [];
    entries.forEach((entry, e) =>
        upstreams.forEach((upstream, u) =>
            pairs.push({ entry: e, upstream: u, score: murmurhash.v3(`${entry}\n${upstream}`) })
        )
    );
    const compareNames = (a: Pair, b: Pair) =>
        entries[a.entry] + upstreams[a.upstream] < entries[b.entry] + upstreams[b.upstream] ? -1 : 1;
    return pairs.sort((a, b) => a.score - b.score || compareNames(a, b));
}

function takePairs({ subsets, holders }: Matching, pairs: Pair[], size: number, maxHolders: number): void {
    for (const { entry, upstream } of pairs) {
        const subset = subsets[entry];
        if (subset.length < size && holders[upstream] < maxHolders && !subset.includes(upstream)) {
            subset.push(upstream);
            holders[upstream] += 1;
        }
    }
}

/** Size of an entry's subset of the upstreams of a pool in its own data centre. */
export const nearSubsetSize = 8;
/** Size of an entry's subset of the upstreams of a pool in each other data centre. */
export const farSubsetSize = 4;

/**
 * Selects the slots that an entry knows and probes: of each pool, a subset of its own data centre's
 * and a smaller one of each other data centre's. The entry takes part also where the list lacks it.
 */
export function selectSlots(
    instances: InstanceRecord[],
    self: { instance: string; dataCentre: string; },
): InstanceRecord[] {
    const entries = listEntries(instances, self);
    const slots = instances.filter(record => record.role === Role.slot && record.pool !== undefined);
    const parts = splitBy(slots, slot => `${slot.pool}\n${slot.dataCentre}`);
    const selected = new Set<string>();
    for (const part of parts.values()) {
        const { dataCentre } = part[0];
        const isNear = dataCentre === self.dataCentre;
        const sharing = entries.filter(entry => (entry.dataCentre === dataCentre) === isNear).map(e => e.instance);
        const size = isNear ? nearSubsetSize : farSubsetSize;
        const subsets = assignSubsets(sharing, part.map(slot => slot.instance).sort(), size);
        subsets[sharing.indexOf(self.instance)].forEach(instance => selected.add(instance));
    }
    return slots.filter(slot => selected.has(slot.instance));
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
