/**
 * Positions in the log. Each time that the log returns from an older copy, its era rises and offsets are given out again,
 * so that a position is an era and an offset in it. Both are kept in one number, which compares the era first.
 */

/** Offsets of one era; no log of the system has as many records. */
const offsetsPerEra = 2 ** 40;
/** Highest era: positions stay small enough for halves between two offsets to be exact. */
export const maxEra = 2 ** 11 - 1;

/** Creates the position of an offset in an era. */
export function createLogPosition(era: number, offset: number): number {
    return era * offsetsPerEra + offset;
}

/** Returns the era of a position. */
export function getEra(position: number): number {
    return Math.floor(position / offsetsPerEra);
}

/** Returns the offset of a position within its era. */
export function getOffset(position: number): number {
    return position % offsetsPerEra;
}
