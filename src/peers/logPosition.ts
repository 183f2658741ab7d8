/**
 * Positions in the log. Each time that the log returns from an older copy, its era rises and offsets are given out again,
 * so that a position is an era and an offset in it. Both are kept in one number, which compares the era first.
 *
 * Eras may begin anywhere, for example as a time, so the number holds the ordinal of the era within this process instead
 * of the era itself. Numbers are therefore compared only within a process; between processes a `WirePosition` is sent.
 */
import { z } from "zod/mini";
import { CallError } from "../core/errors.js";

/** Offsets of one era; no log of the system has as many records. */
const offsetsPerEra = 2 ** 36;
/** Highest ordinal: positions stay small enough for halves between two offsets to be exact. */
const maxOrdinal = 2 ** 16 - 1;
/** Ordinals between two eras, left free for eras in between that a process learns of later, from a peer that lags. */
const ordinalStep = 32;

/** Eras that this process knows, in ascending order, with ascending ordinals. */
const knownEras: { era: number; ordinal: number; }[] = [{ era: 0, ordinal: 0 }];

/** Creates the position of an offset in an era; throws a `CallError` after more eras than a process can tell apart. */
export function createLogPosition(era: number, offset: number): number {
    return getOrdinal(era) * offsetsPerEra + offset;
}

/** Returns the era of a position. */
export function getEra(position: number): number {
    const ordinal = Math.floor(position / offsetsPerEra);
    return knownEras.find(known => known.ordinal === ordinal)?.era ?? 0;
}

/** Returns the offset of a position within its era. */
export function getOffset(position: number): number {
    return position % offsetsPerEra;
}

function getOrdinal(era: number): number {
    const next = knownEras.findIndex(known => known.era >= era);
    if (next >= 0 && knownEras[next].era === era) {
        return knownEras[next].ordinal;
    }
    const previous = knownEras.at(next < 0 ? -1 : next - 1)!;
    const following = next < 0 ? previous.ordinal + 2 * ordinalStep : knownEras[next].ordinal;
    const ordinal = Math.floor((previous.ordinal + following) / 2);
    if (ordinal > maxOrdinal) {
        throw new CallError(`Era ${era} of the log is one more than a process can tell apart`);
    }
    if (ordinal > previous.ordinal) {
        knownEras.splice(next < 0 ? knownEras.length : next, 0, { era, ordinal });
    }
    return ordinal;
}

/** Offsets of one era, and highest era, in positions that are sent as a number. */
const numericOffsetsPerEra = 2 ** 40;
const maxNumericEra = 2 ** 11 - 1;

/** Schema of a number within bounds, both included. */
const createRangeSchema = (min: number, max: number) => z.number().check(z.gte(min), z.lte(max));

/**
 * Position as processes send it: era and offset or, for eras that processes of earlier versions know, the number that
 * they expect.
 */
export const WirePositionSchema = z.union([
    createRangeSchema(0, (maxNumericEra + 1) * numericOffsetsPerEra),
    z.tuple([createRangeSchema(0, Number.MAX_SAFE_INTEGER), createRangeSchema(0, offsetsPerEra)]),
]);
export type WirePosition = z.infer<typeof WirePositionSchema>;

/** Encodes a position for another process. */
export function encodeLogPosition(position: number): WirePosition {
    const era = getEra(position);
    const offset = getOffset(position);
    return era <= maxNumericEra ? era * numericOffsetsPerEra + offset : [era, offset];
}

/** Decodes a position that another process has sent. */
export function decodeLogPosition(position: WirePosition): number {
    return typeof position === "number" ?
        createLogPosition(Math.floor(position / numericOffsetsPerEra), position % numericOffsetsPerEra) :
        createLogPosition(...position);
}
