/**
 * Gossip protocol between entries and slots: spreads configuration revisions, membership (incarnations and leaving
 * states) and coarse load. Does no I/O; time in milliseconds and random numbers are arguments, and `loadPeers.ts` makes
 * the calls.
 */
import type { Random } from "../core/random.js";
import { type InstanceRecord, InstanceState } from "../core/types.js";
import type { GossipMessage, MemberInfo } from "./messages.js";

/** Another process, as this one knows it. */
export interface Member extends MemberInfo {
    /** Revision in the member's latest message. */
    revision: number;
    digest: string;
    /** Load of the member's upstream, in tokens; 0 for entries. */
    load: number;
    /** Time of the last message directly from the member, in milliseconds; 0 before the first. */
    lastMessageAt: number;
    /** Failed calls since the last direct message. */
    failures: number;
    /** Time until which no call is made to the member, in milliseconds. */
    backoffUntil: number;
    /** Whether the latest instance list contained the member. */
    isListed: boolean;
    /** State in the last instance list that contained the member; undefined if none did. */
    listedState: InstanceState | undefined;
}

/** Gossip state of a process. */
export interface GossipState {
    /** Information about this process. */
    self: MemberInfo;
    revision: number;
    digest: string;
    load: number;
    /** Other processes, by instance name. */
    members: Map<string, Member>;
    /** Keys of `members`, for random sampling. */
    names: string[];
    /** Number of messages that still have to carry an update about a member, by instance name. */
    remainingTransmits: Map<string, number>;
    /** URLs from the settings, used while no member can be called. */
    seeds: string[];
    /** Remaining rounds at the short interval, which spread a new revision. */
    fastRoundsLeft: number;
    /** Number of times that a new member was rejected because the table was full. */
    dropped: number;
}

/** Action for the caller: fetch a newer revision from the peer at `url`. */
export interface FetchRevisionAction {
    kind: "fetchRevision";
    url: string;
    revision: number;
    digest: string;
}

/** Process to exchange messages with. */
export interface Partner {
    /** Undefined for seeds, whose instance names are unknown. */
    instance: string | undefined;
    url: string;
}

const roundIntervalMs = 2000;
const maxFastRoundDelayMs = 500;
/** Rounds at a short interval after a new revision. */
const fastRoundsPerRevision = 2;
const maxMembers = 2000;
const maxUpdatesPerMessage = 2;
/** Random members tried before a round falls back to any member that can be called, or to a seed. */
const maxPartnerSamples = 64;
/** Digest characters in messages; the digest of a fetched document is verified in full. */
const shortDigestLength = 12;
/** Messages that carry an update, as multiples of the base 2 logarithm of the number of members. */
const transmitFactors = { live: 1, leaving: 3 };
/** Share of exchanges with members of the same data centre. */
const localExchangeShare = 0.8;
/** Time since the last message after which a member no longer counts as live. */
const silenceTimeoutMs = 10_000;
const initialBackoffMs = 2000;
const maxBackoffMs = 8000;
/** Time since the last message after which a member that is not on the list is removed. */
const memberRetentionMs = 120_000;

/** Creates the state of a process without members; `seeds` are URLs. */
export function createGossipState(self: MemberInfo, seeds: string[]): GossipState {
    return {
        self,
        revision: 0,
        digest: "",
        load: 0,
        members: new Map(),
        names: [],
        remainingTransmits: new Map(),
        seeds,
        fastRoundsLeft: 0,
        dropped: 0,
    };
}

/** Updates the revision of this process; a higher one is spread in a few rounds at the short interval. */
export function updateRevision(state: GossipState, revision: number, digest: string): void {
    if (revision > state.revision) {
        state.fastRoundsLeft = fastRoundsPerRevision;
    }
    state.revision = revision;
    state.digest = digest;
}

/** Advances to the next round; returns the delay until it, in milliseconds. `random` is in [0, 1). */
export function advanceRound(state: GossipState, random: number): number {
    if (state.fastRoundsLeft > 0) {
        state.fastRoundsLeft -= 1;
        return random * maxFastRoundDelayMs;
    }
    return roundIntervalMs * (0.9 + 0.2 * random);
}

/**
 * Applies the platform's instance list. The list lags behind gossip, so it only adds members and marks them as leaving;
 * members that it lacks are removed only after a long time without a message.
 */
export function applyInstanceList(state: GossipState, instances: InstanceRecord[], now: number): void {
    const names = new Set(instances.map(record => record.instance));
    for (const record of instances) {
        if (record.instance !== state.self.instance) {
            applyListedInstance(state, record, now);
        }
    }
    for (const member of state.members.values()) {
        const wasListed = member.isListed;
        member.isListed = names.has(member.instance);
        if (member.isListed) {
            member.isDropped = undefined;
        }
        else if (wasListed) {
            markDropped(state, member);
        }
        if (!member.isListed && now - member.lastMessageAt > memberRetentionMs) {
            removeMember(state, member);
        }
    }
}

function applyListedInstance(state: GossipState, record: InstanceRecord, now: number): void {
    const { instance, role, dataCentre, url } = record;
    // Incarnation 0 marks a member that is known only from the list.
    const info: MemberInfo = { instance, role, dataCentre, url, incarnation: 0, state: InstanceState.live };
    const member = state.members.get(instance) ?? addMember(state, info, now);
    if (member === undefined) {
        return;
    }
    const isNewlyLeaving = record.state === InstanceState.leaving && member.listedState !== record.state;
    member.listedState = record.state;
    member.url = url;
    if (isNewlyLeaving && member.state !== InstanceState.leaving) {
        member.state = InstanceState.leaving;
        queueMemberUpdate(state, member);
    }
}

/** Marks a member that the list has dropped, and tells peers that may never have seen it on the list. */
function markDropped(state: GossipState, member: Member): void {
    member.isDropped = true;
    if (member.pool !== undefined && member.state === InstanceState.live) {
        queueMemberUpdate(state, member);
    }
}

function addMember(state: GossipState, info: MemberInfo, now: number): Member | undefined {
    if (state.members.size >= maxMembers) {
        state.dropped += 1;
        return undefined;
    }
    const member: Member = {
        ...info,
        revision: 0,
        digest: "",
        load: 0,
        lastMessageAt: 0,
        failures: 0,
        backoffUntil: now,
        isListed: false,
        listedState: undefined,
    };
    state.members.set(info.instance, member);
    state.names.push(info.instance);
    return member;
}

function removeMember(state: GossipState, member: Member): void {
    state.members.delete(member.instance);
    state.remainingTransmits.delete(member.instance);
    state.names.splice(state.names.indexOf(member.instance), 1);
}

function queueMemberUpdate(state: GossipState, member: Member): void {
    state.remainingTransmits.set(
        member.instance,
        transmitFactors[member.state] * Math.ceil(Math.log2(state.members.size + 2)),
    );
}

/** Builds the next message, whose size is bounded. Updates with the most remaining transmits go first. */
export function buildMessage(state: GossipState, random: Random): GossipMessage {
    const { self, revision, load } = state;
    const pending = [...state.remainingTransmits].sort(([, a], [, b]) => b - a).slice(0, maxUpdatesPerMessage).map((
        [name],
    ) => name);
    pending.forEach(name => {
        const remaining = state.remainingTransmits.get(name)! - 1;
        if (remaining === 0) {
            state.remainingTransmits.delete(name);
        }
        else {
            state.remainingTransmits.set(name, remaining);
        }
    });
    const randomName = state.names[random.pickIndex(state.names.length)];
    const names = pending.length === 0 && randomName !== undefined ? [randomName] : pending;
    const news = names.map(name => state.members.get(name)!).filter(member => member.incarnation > 0).map(toMemberInfo);
    const digest = state.digest.slice(0, shortDigestLength);
    return { sender: self, revision, digest, load, news };
}

function toMemberInfo(member: Member): MemberInfo {
    const { instance, incarnation, state, role, dataCentre, url, pool, isDropped } = member;
    return { instance, incarnation, state, role, dataCentre, url, pool, isDropped };
}

/**
 * Merges the platform's list with gossip: adds leaving states, and live slots that have never been on a list of this process
 * and that no peer's list has dropped.
 */
export function combineInstances(state: GossipState, listed: InstanceRecord[]): InstanceRecord[] {
    const isLeaving = (name: string) => state.members.get(name)?.state === InstanceState.leaving;
    const merged = listed.map(record =>
        isLeaving(record.instance) ? { ...record, state: InstanceState.leaving } : record
    );
    const unlisted = [...state.members.values()].filter(member =>
        member.pool !== undefined && member.state === InstanceState.live && member.listedState === undefined &&
        member.isDropped === undefined
    );
    return [
        ...merged,
        ...unlisted.map(({ instance, role, dataCentre, url, pool }): InstanceRecord => ({
            instance,
            role,
            dataCentre,
            url,
            pool,
            state: InstanceState.live,
        })),
    ];
}

/** Processes a message directly from its sender; returns the revision to fetch, if the sender has a newer one. */
export function receiveMessage(state: GossipState, message: GossipMessage, now: number): FetchRevisionAction[] {
    const { sender, revision, digest, load } = message;
    message.news.forEach(info => mergeMemberInfo(state, info, now));
    if (sender.instance === state.self.instance) {
        return [];
    }
    const member = mergeMemberInfo(state, sender, now);
    if (member !== undefined && sender.incarnation === member.incarnation) {
        removeSupersededMembers(state, member);
        Object.assign(member, { revision, digest, load, lastMessageAt: now, failures: 0, backoffUntil: now });
    }
    return revision > state.revision ? [{ kind: "fetchRevision", url: sender.url, revision, digest }] : [];
}

/** Merges information about a member: the higher incarnation wins, and leaving is final within an incarnation. */
function mergeMemberInfo(state: GossipState, info: MemberInfo, now: number): Member | undefined {
    if (info.instance === state.self.instance) {
        return undefined;
    }
    const known = state.members.get(info.instance);
    const member = known ?? addMember(state, info, now);
    if (member === undefined) {
        return undefined;
    }
    const isNewer = known === undefined || info.incarnation > known.incarnation;
    const isNowLeaving = info.incarnation === member.incarnation && info.state === InstanceState.leaving &&
        member.state !== InstanceState.leaving;
    if (isNewer || isNowLeaving) {
        const wasListOnly = known !== undefined && known.incarnation === 0;
        const wasMarkedLeaving = wasListOnly && known.state === InstanceState.leaving;
        const isDropped = member.isListed ? undefined : info.isDropped;
        Object.assign(member, info, { isDropped }, wasMarkedLeaving ? { state: InstanceState.leaving } : {});
        member.backoffUntil = now;
        if (!wasListOnly || member.state === InstanceState.leaving) {
            queueMemberUpdate(state, member);
        }
    }
    const isDroppedByPeer = info.incarnation === member.incarnation && info.isDropped === true;
    if (isDroppedByPeer && !member.isListed && member.isDropped === undefined) {
        markDropped(state, member);
    }
    return member;
}

/** Removes older members with the URL of `successor`, which has replaced them. */
function removeSupersededMembers(state: GossipState, successor: Member): void {
    for (const member of state.members.values()) {
        if (member !== successor && member.url === successor.url && member.incarnation < successor.incarnation) {
            removeMember(state, member);
        }
    }
}

/** Records a failed call; exponential backoff applies until the next message from the member. */
export function recordCallFailure(state: GossipState, partner: Partner, now: number): void {
    const member = state.members.get(partner.instance ?? "");
    if (member !== undefined) {
        member.failures += 1;
        member.backoffUntil = now + Math.min(maxBackoffMs, initialBackoffMs * 2 ** Math.min(member.failures - 1, 10));
    }
}

/**
 * Chooses the partner of the next exchange: usually in the same data centre, sometimes in another one, and a seed while
 * no member can be called. Returns undefined if there is neither.
 */
export function choosePartner(state: GossipState, random: Random, now: number): Partner | undefined {
    const prefersLocal = random.next() < localExchangeShare;
    let candidate: Member | undefined;
    for (let tries = 0; tries < maxPartnerSamples && state.names.length > 0; tries++) {
        const member = state.members.get(state.names[random.pickIndex(state.names.length)])!;
        if (member.backoffUntil > now) {
            continue;
        }
        candidate = member;
        if ((member.dataCentre === state.self.dataCentre) === prefersLocal) {
            break;
        }
    }
    if (candidate !== undefined) {
        return { instance: candidate.instance, url: candidate.url };
    }
    const { seeds } = state;
    return seeds.length === 0 ? undefined : { instance: undefined, url: seeds[random.pickIndex(seeds.length)] };
}

/**
 * Whether a member is live: not leaving, a message has arrived from it recently, and no call to it has failed since.
 * Only messages directly from the member count, not reports by others.
 */
export function isLive(member: Member, now: number): boolean {
    return member.state === InstanceState.live && member.failures === 0 && member.lastMessageAt > 0 &&
        now - member.lastMessageAt <= silenceTimeoutMs;
}

/** Whether calls to a member fail and no message has arrived from it recently either. */
export function isSilent(member: Member, now: number): boolean {
    return member.failures > 0 && now - member.lastMessageAt > silenceTimeoutMs;
}
