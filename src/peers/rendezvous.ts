/** Rendezvous hashing: every process ranks the same instances alike, without a message. */
import murmurhash from "murmurhash";

/** Computes the place of `self` among `instances` for `key`; 0 is the first. */
export function computeRendezvousPosition(self: string, instances: string[], key: string): number {
    const own = murmurhash.v3(`${key}/${self}`);
    return instances.filter(instance => instance !== self && murmurhash.v3(`${key}/${instance}`) < own).length;
}
