/**
 * Gossip between processes: revisions, incarnations, leaving marks and coarse load.
 * Pure: time and random numbers are arguments; `loadPeers.ts` does the calls.
 */
import type { Random } from "../core/random.js";
import { type InstanceRecord, InstanceState } from "../core/types.js";
import type { GossipMessage, News } from "./messages.js";

export interface Member extends News {
    /** Highest revision that the member told. */
    revision: number;
    digest: string;
    load: number;
    /** Time of the last direct message, in milliseconds; 0 before the first. */
    heardAt: number;
    /** Failed calls since the last answer. */
    failures: number;
    /** Time until which the member is not called, in milliseconds. */
    quietUntil: number;
    /** Whether the list named the member last time. */
    listed: boolean;
    /** State that the list last gave. */
    listedState: InstanceState | undefined;
}

export interface GossipState {
    self: News;
    revision: number;
    digest: string;
    load: number;
    /** Members by instance name, without this one. */
    members: Map<string, Member>;
    /** Keys of `members`, for sampling. */
    names: string[];
    /** Messages that will still carry a member's news, by instance name. */
    retellings: Map<string, number>;
    /** Addresses from the settings, used while no member is known. */
    seeds: string[];
    /** Exchanges still to be made soon, because a new revision has come into force here. */
    eagerRounds: number;
    /** Members not taken in because the table was full. */
    dropped: number;
}

/** A peer has a newer revision. */
export interface FetchRevision {
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

const roundMs = 2000;
const eagerRoundMs = 500;
const eagerRounds = 2;
const maxMembers = 2000;
const newsPerMessage = 2;
const maxSamples = 64;
/** Characters of a digest that messages carry; the document's own digest is checked in full. */
const digestLength = 12;
/** Messages that carry one piece of news, as multiples of the logarithm of the number of members. */
const retellFactors = { live: 1, leaving: 3 };
const ownCentreShare = 0.8;
const silentMs = 10_000;
const quietStepMs = 2000;
const maxQuietMs = 8000;
const forgetMs = 120_000;

/** Creates the state of a process that knows nobody. */
export function createGossipState(self: News, seeds: string[]): GossipState {
    return {
        self,
        revision: 0,
        digest: "",
        load: 0,
        members: new Map(),
        names: [],
        retellings: new Map(),
        seeds,
        eagerRounds: 0,
        dropped: 0,
    };
}

/** Notes the newest revision of this process; a new one is told in a few exchanges at once. */
export function noteRevision(state: GossipState, revision: number, digest: string): void {
    if (revision > state.revision) {
        state.eagerRounds = eagerRounds;
    }
    state.revision = revision;
    state.digest = digest;
}

/** Plans the time to the next exchange, in milliseconds; `random` is in [0, 1). */
export function planRound(state: GossipState, random: number): number {
    if (state.eagerRounds > 0) {
        state.eagerRounds -= 1;
        return random * eagerRoundMs;
    }
    return roundMs * (0.9 + 0.2 * random);
}

/** Takes in the platform's list, which lags: it adds members and leaving marks, and takes nothing back. */
export function updateMembers(state: GossipState, instances: InstanceRecord[], now: number): void {
    const names = new Set(instances.map(record => record.instance));
    for (const record of instances) {
        if (record.instance !== state.self.instance) {
            updateListed(state, record, now);
        }
    }
    for (const member of state.members.values()) {
        member.listed = names.has(member.instance);
        if (!member.listed && now - member.heardAt > forgetMs) {
            dropMember(state, member);
        }
    }
}

function updateListed(state: GossipState, record: InstanceRecord, now: number): void {
    const { instance, role, dataCentre, url } = record;
    const news: News = { instance, role, dataCentre, url, incarnation: 0, state: InstanceState.live };
    const member = state.members.get(instance) ?? addMember(state, news, now);
    if (member === undefined) {
        return;
    }
    const isNewMark = record.state === InstanceState.leaving && member.listedState !== record.state;
    member.listedState = record.state;
    member.url = url;
    if (isNewMark && member.state !== InstanceState.leaving) {
        member.state = InstanceState.leaving;
        announceMember(state, member);
    }
}

function addMember(state: GossipState, news: News, now: number): Member | undefined {
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
        quietUntil: now,
        listed: false,
        listedState: undefined,
    };
    state.members.set(news.instance, member);
    state.names.push(news.instance);
    return member;
}

function dropMember(state: GossipState, member: Member): void {
    state.members.delete(member.instance);
    state.retellings.delete(member.instance);
    state.names.splice(state.names.indexOf(member.instance), 1);
}

function announceMember(state: GossipState, member: Member): void {
    state.retellings.set(member.instance, retellFactors[member.state] * Math.ceil(Math.log2(state.members.size + 2)));
}

/** Builds the next message; its size is bounded. The news told least often goes first. */
export function buildMessage(state: GossipState, random: Random): GossipMessage {
    const { self, revision, load } = state;
    const fresh = [...state.retellings].sort(([, a], [, b]) => b - a).slice(0, newsPerMessage).map(([name]) => name);
    fresh.forEach(name => {
        const left = state.retellings.get(name)! - 1;
        if (left === 0) {
            state.retellings.delete(name);
        }
        else {
            state.retellings.set(name, left);
        }
    });
    const filler = state.names[random.pickIndex(state.names.length)];
    const names = fresh.length === 0 && filler !== undefined ? [filler] : fresh;
    const news = names.map(name => state.members.get(name)!).filter(member => member.incarnation > 0).map(toNews);
    const digest = state.digest.slice(0, digestLength);
    return { sender: self, revision, digest, load, news };
}

function toNews({ instance, incarnation, state, role, dataCentre, url, pool }: Member): News {
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
export function receiveMessage(state: GossipState, message: GossipMessage, now: number): FetchRevision[] {
    const { sender, revision, digest, load } = message;
    message.news.forEach(news => mergeNews(state, news, now));
    if (sender.instance === state.self.instance) {
        return [];
    }
    const member = mergeNews(state, sender, now);
    if (member !== undefined && sender.incarnation === member.incarnation) {
        dropAddress(state, member);
        Object.assign(member, { revision, digest, load, heardAt: now, failures: 0, quietUntil: now });
    }
    return revision > state.revision ? [{ kind: "fetchRevision", url: sender.url, revision, digest }] : [];
}

/** Merges news: a higher incarnation replaces a lower one, and within one incarnation leaving is final. */
function mergeNews(state: GossipState, news: News, now: number): Member | undefined {
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
        member.quietUntil = now;
        if (!isFirst || member.state === InstanceState.leaving) {
            announceMember(state, member);
        }
    }
    return member;
}

/** Removes members whose address a newer process has taken over. */
function dropAddress(state: GossipState, holder: Member): void {
    for (const member of state.members.values()) {
        if (member !== holder && member.url === holder.url && member.incarnation < holder.incarnation) {
            dropMember(state, member);
        }
    }
}

/** Notes a call that failed; the member is called less often until it is heard again. */
export function noteFailure(state: GossipState, partner: Partner, now: number): void {
    const member = state.members.get(partner.instance ?? "");
    if (member !== undefined) {
        member.failures += 1;
        member.quietUntil = now + Math.min(maxQuietMs, quietStepMs * 2 ** Math.min(member.failures - 1, 10));
    }
}

/** Chooses whom to call next: mostly in the own data centre, sometimes across, seeds while nobody else is known. */
export function choosePartner(state: GossipState, random: Random, now: number): Partner | undefined {
    const wantsOwn = random.next() < ownCentreShare;
    let fallback: Member | undefined;
    for (let tries = 0; tries < maxSamples && state.names.length > 0; tries++) {
        const member = state.members.get(state.names[random.pickIndex(state.names.length)])!;
        if (member.quietUntil > now) {
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
        now - member.heardAt <= silentMs;
}

/** Tells whether calls to a member fail while nothing arrives from it either. */
export function isSilent(member: Member, now: number): boolean {
    return member.failures > 0 && now - member.heardAt > silentMs;
}
