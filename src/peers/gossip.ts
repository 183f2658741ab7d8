/**
 * Gossip between processes: revisions, incarnations, leaving marks and coarse load.
 * Pure: time and random numbers are arguments; `loadPeers.ts` does the calls.
 */
import type { Random } from "../core/random.js";
import { type InstanceRecord, InstanceState } from "../core/types.js";
import type { GossipMessage, MemberInfo } from "./messages.js";

export interface Member extends MemberInfo {
    /** Highest revision that the member told. */
    revision: number;
    digest: string;
    load: number;
    /** Time of the last direct message, in milliseconds; 0 before the first. */
    heardAt: number;
    /** Failed calls since the last answer. */
    failures: number;
    /** Time until which the member is not called, in milliseconds. */
    backoffUntil: number;
    /** Whether the list named the member last time. */
    isListed: boolean;
    /** State that the list last gave. */
    listedState: InstanceState | undefined;
}

export interface GossipState {
    self: MemberInfo;
    revision: number;
    digest: string;
    load: number;
    /** Members by instance name, without this one. */
    members: Map<string, Member>;
    /** Keys of `members`, for sampling. */
    names: string[];
    /** Messages that will still carry a member's news, by instance name. */
    remainingTransmits: Map<string, number>;
    /** Addresses from the settings, used while no member is known. */
    seeds: string[];
    /** Exchanges still to be made soon, because a new revision has come into force here. */
    fastRoundsLeft: number;
    /** Members not taken in because the table was full. */
    dropped: number;
}

/** A peer has a newer revision. */
export interface FetchRevisionAction {
    kind: "fetchRevision";
    url: string;
    revision: number;
    digest: string;
}

export interface Partner {
    /** Undefined for a seed whose name is not known. */
    instance: string | undefined;
    url: string;
}

const roundIntervalMs = 2000;
const maxFastRoundDelayMs = 500;
const fastRoundsPerRevision = 2;
const maxMembers = 2000;
const maxUpdatesPerMessage = 2;
const maxPartnerSamples = 64;
/** Characters of a digest that messages carry; the document's own digest is checked in full. */
const shortDigestLength = 12;
/** Messages that carry one piece of news, as multiples of the logarithm of the number of members. */
const transmitFactors = { live: 1, leaving: 3 };
const localExchangeShare = 0.8;
const silenceTimeoutMs = 10_000;
const initialBackoffMs = 2000;
const maxBackoffMs = 8000;
const memberRetentionMs = 120_000;

/** Creates the state of a process that knows nobody. */
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

/** Notes the newest revision of this process; a new one is told in a few exchanges at once. */
export function updateRevision(state: GossipState, revision: number, digest: string): void {
    if (revision > state.revision) {
        state.fastRoundsLeft = fastRoundsPerRevision;
    }
    state.revision = revision;
    state.digest = digest;
}

/** Plans the time to the next exchange, in milliseconds; `random` is in [0, 1). */
export function advanceRound(state: GossipState, random: number): number {
    if (state.fastRoundsLeft > 0) {
        state.fastRoundsLeft -= 1;
        return random * maxFastRoundDelayMs;
    }
    return roundIntervalMs * (0.9 + 0.2 * random);
}

/** Takes in the platform's list, which lags: it adds members and leaving marks, and takes nothing back. */
export function applyInstanceList(state: GossipState, instances: InstanceRecord[], now: number): void {
    const names = new Set(instances.map(record => record.instance));
    for (const record of instances) {
        if (record.instance !== state.self.instance) {
            applyListedInstance(state, record, now);
        }
    }
    for (const member of state.members.values()) {
        member.isListed = names.has(member.instance);
        if (!member.isListed && now - member.heardAt > memberRetentionMs) {
            removeMember(state, member);
        }
    }
}

function applyListedInstance(state: GossipState, record: InstanceRecord, now: number): void {
    const { instance, role, dataCentre, url } = record;
    const news: MemberInfo = { instance, role, dataCentre, url, incarnation: 0, state: InstanceState.live };
    const member = state.members.get(instance) ?? addMember(state, news, now);
    if (member === undefined) {
        return;
    }
    const isNewMark = record.state === InstanceState.leaving && member.listedState !== record.state;
    member.listedState = record.state;
    member.url = url;
    if (isNewMark && member.state !== InstanceState.leaving) {
        member.state = InstanceState.leaving;
        queueMemberUpdate(state, member);
    }
}

function addMember(state: GossipState, news: MemberInfo, now: number): Member | undefined {
    if (state.members.size >= maxMembers) {
        state.dropped += 1;
        return undefined;
    }
    const member: Member = {
        ...news,
        revision: 0,
        digest: "",
        load: 0,
        heardAt: 0,
        failures: 0,
        backoffUntil: now,
        isListed: false,
        listedState: undefined,
    };
    state.members.set(news.instance, member);
    state.names.push(news.instance);
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

/** Builds the next message; its size is bounded. The news told least often goes first. */
export function buildMessage(state: GossipState, random: Random): GossipMessage {
    const { self, revision, load } = state;
    const fresh = [...state.remainingTransmits].sort(([, a], [, b]) => b - a).slice(0, maxUpdatesPerMessage).map((
        [name],
    ) => name);
    fresh.forEach(name => {
        const left = state.remainingTransmits.get(name)! - 1;
        if (left === 0) {
            state.remainingTransmits.delete(name);
        }
        else {
            state.remainingTransmits.set(name, left);
        }
    });
    const filler = state.names[random.pickIndex(state.names.length)];
    const names = fresh.length === 0 && filler !== undefined ? [filler] : fresh;
    const news = names.map(name => state.members.get(name)!).filter(member => member.incarnation > 0).map(toMemberInfo);
    const digest = state.digest.slice(0, shortDigestLength);
    return { sender: self, revision, digest, load, news };
}

function toMemberInfo({ instance, incarnation, state, role, dataCentre, url, pool }: Member): MemberInfo {
    return { instance, incarnation, state, role, dataCentre, url, pool };
}

/** Combines the platform's list with what peers told: leaving marks, and slots that the list has never shown. */
export function combineInstances(state: GossipState, listed: InstanceRecord[]): InstanceRecord[] {
    const isLeaving = (name: string) => state.members.get(name)?.state === InstanceState.leaving;
    const marked = listed.map(record =>
        isLeaving(record.instance) ? { ...record, state: InstanceState.leaving } : record
    );
    const told = [...state.members.values()].filter(member =>
        member.pool !== undefined && member.state === InstanceState.live && member.listedState === undefined
    );
    return [
        ...marked,
        ...told.map(({ instance, role, dataCentre, url, pool }): InstanceRecord => ({
            instance,
            role,
            dataCentre,
            url,
            pool,
            state: InstanceState.live,
        })),
    ];
}

/** Takes in a message that arrived directly from its sender. */
export function receiveMessage(state: GossipState, message: GossipMessage, now: number): FetchRevisionAction[] {
    const { sender, revision, digest, load } = message;
    message.news.forEach(news => mergeMemberInfo(state, news, now));
    if (sender.instance === state.self.instance) {
        return [];
    }
    const member = mergeMemberInfo(state, sender, now);
    if (member !== undefined && sender.incarnation === member.incarnation) {
        removeSupersededMembers(state, member);
        Object.assign(member, { revision, digest, load, heardAt: now, failures: 0, quietUntil: now });
    }
    return revision > state.revision ? [{ kind: "fetchRevision", url: sender.url, revision, digest }] : [];
}

/** Merges news: a higher incarnation replaces a lower one, and within one incarnation leaving is final. */
function mergeMemberInfo(state: GossipState, news: MemberInfo, now: number): Member | undefined {
    if (news.instance === state.self.instance) {
        return undefined;
    }
    const known = state.members.get(news.instance);
    const member = known ?? addMember(state, news, now);
    if (member === undefined) {
        return undefined;
    }
    const isLater = known === undefined || news.incarnation > known.incarnation;
    const isLeaving = news.incarnation === member.incarnation && news.state === InstanceState.leaving &&
        member.state !== InstanceState.leaving;
    if (isLater || isLeaving) {
        const isFirst = known !== undefined && known.incarnation === 0;
        const marked = isFirst && known.state === InstanceState.leaving;
        Object.assign(member, news, marked ? { state: InstanceState.leaving } : {});
        member.backoffUntil = now;
        if (!isFirst || member.state === InstanceState.leaving) {
            queueMemberUpdate(state, member);
        }
    }
    return member;
}

/** Removes members whose address a newer process has taken over. */
function removeSupersededMembers(state: GossipState, holder: Member): void {
    for (const member of state.members.values()) {
        if (member !== holder && member.url === holder.url && member.incarnation < holder.incarnation) {
            removeMember(state, member);
        }
    }
}

/** Notes a call that failed; the member is called less often until it is heard again. */
export function recordCallFailure(state: GossipState, partner: Partner, now: number): void {
    const member = state.members.get(partner.instance ?? "");
    if (member !== undefined) {
        member.failures += 1;
        member.backoffUntil = now + Math.min(maxBackoffMs, initialBackoffMs * 2 ** Math.min(member.failures - 1, 10));
    }
}

/** Chooses whom to call next: mostly in the own data centre, sometimes across, seeds while nobody else is known. */
export function choosePartner(state: GossipState, random: Random, now: number): Partner | undefined {
    const wantsOwn = random.next() < localExchangeShare;
    let fallback: Member | undefined;
    for (let tries = 0; tries < maxPartnerSamples && state.names.length > 0; tries++) {
        const member = state.members.get(state.names[random.pickIndex(state.names.length)])!;
        if (member.backoffUntil > now) {
            continue;
        }
        fallback = member;
        if ((member.dataCentre === state.self.dataCentre) === wantsOwn) {
            break;
        }
    }
    if (fallback !== undefined) {
        return { instance: fallback.instance, url: fallback.url };
    }
    const { seeds } = state;
    return seeds.length === 0 ? undefined : { instance: undefined, url: seeds[random.pickIndex(seeds.length)] };
}

/** Tells whether a member has answered lately and is not leaving: only direct evidence makes it live. */
export function isLive(member: Member, now: number): boolean {
    return member.state === InstanceState.live && member.failures === 0 && member.heardAt > 0 &&
        now - member.heardAt <= silenceTimeoutMs;
}

/** Tells whether calls to a member fail while nothing arrives from it either. */
export function isSilent(member: Member, now: number): boolean {
    return member.failures > 0 && now - member.heardAt > silenceTimeoutMs;
}
