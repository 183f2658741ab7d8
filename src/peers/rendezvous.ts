/** Rendezvous hashing: processes that know the same instances agree on their order without communication. */
import murmurhash from "murmurhash";

/** Computes the position of `self` in the order of `instances` for `key`; 0 is the first. */
export function computeRendezvousPosition(self: string, instances: string[], key: string): number {
    const selfHash = murmurhash.v3(`${key}/${self}`);
    return instances.filter(instance => instance !== self && murmurhash.v3(`${key}/${instance}`) < selfHash).length;
}
