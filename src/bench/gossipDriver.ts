/**
 * Drives the gossip and spread modules of many nodes in one process with faked time, in steps of 50 ms: each node has
 * an exchange with the partner that it chooses whenever its plan says so.
 * At the start each node knows a random part of the others only, to bound the memory of the driver.
 * Left out: latency, time-outs (a cut link fails at once), processor time, TCP and IP headers.
 */
import { createRevisionState, handleRevisionEvent, type Revision, type RevisionState } from "../config/revision.js";
import { createRandom, type Random } from "../core/random.js";
import type { InstanceRecord } from "../core/types.js";
import {
    advanceRound,
    applyInstanceList,
    buildMessage,
    choosePartner,
    createGossipState,
    type FetchRevisionAction,
    type GossipState,
    receiveMessage,
    recordCallFailure,
    updateRevision,
} from "../peers/gossip.js";
import type { GossipMessage } from "../peers/messages.js";
import { createSignedHeaders } from "../wire/rpc.js";

export interface DriverNode {
    gossip: GossipState;
    spread: RevisionState;
    bytes: number;
    /** Time of its next exchange, in milliseconds. */
    nextAt: number;
    /** Time at which the newest revision came into force, in milliseconds. */
    inForceAt: number;
}

export interface GossipDriver {
    nodes: DriverNode[];
    random: Random;
    now: number;
    byUrl: Map<string, DriverNode>;
    isCut: (from: DriverNode, to: DriverNode) => boolean;
}

export const secondMs = 1000;
const stepMs = 50;
const dataCentres = 4;
const maxKnown = 96;
const slotShare = 2 / 3;
const rpcEnvelopeBytes = JSON.stringify({ jsonrpc: "2.0", id: 1, method: "gossip", params: "" }).length - 2;
const answerHeaderBytes =
    ("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nDate: Thu, 01 Jan 1970 00:00:00 GMT\r\n" +
        "Connection: keep-alive\r\nKeep-Alive: timeout=5\r\nContent-Length: 600\r\n\r\n").length;
const identity = { environment: "production", internalKeys: ["bench-key-of-a-usual-length-0123"] };

/** Creates nodes that have read the list, or a part of it. */
export function createDriver(count: number, seed: number): GossipDriver {
    const random = createRandom(seed);
    const list = Array.from({ length: count }, (item, index) => createInstance(index, count));
    const nodes = list.map((record): DriverNode => {
        const gossip = createGossipState({ ...record, incarnation: 1_700_000_000_000 }, []);
        applyInstanceList(gossip, sampleList(list, random), 0);
        return { gossip, spread: createRevisionState("production", 0), bytes: 0, nextAt: 0, inForceAt: 0 };
    });
    nodes.forEach(node => {
        node.nextAt = random.next() * 2 * secondMs;
    });
    const byUrl = new Map(nodes.map(node => [node.gossip.self.url, node]));
    return { nodes, random, now: 0, byUrl, isCut: () => false };
}

function sampleList(list: InstanceRecord[], random: Random): InstanceRecord[] {
    if (list.length <= maxKnown) {
        return list;
    }
    return Array.from({ length: maxKnown }, () => list[random.pickIndex(list.length)]);
}

function createInstance(index: number, count: number): InstanceRecord {
    return {
        instance: index < count * slotShare ? `slot-${index}` : `entry-${index}`,
        role: index < count * slotShare ? "slot" : "entry",
        dataCentre: `dc-${index % dataCentres}`,
        url: `http://10.${index % dataCentres}.${index >> 8}.${index & 255}:7001`,
        state: "live",
    };
}

/** Cuts a share of all pairs of nodes, alike in both directions and for good. */
export function cutLinks(driver: GossipDriver, share: number): void {
    const cut = new Map<string, boolean>();
    const random = createRandom(driver.random.pickIndex(1_000_000));
    driver.isCut = (from, to) => {
        const names = [from.gossip.self.instance, to.gossip.self.instance].sort().join("/");
        const known = cut.get(names) ?? random.next() < share;
        cut.set(names, known);
        return known;
    };
}

/** Runs one second. */
export function runSecond(driver: GossipDriver): void {
    const endsAt = driver.now + secondMs;
    for (; driver.now < endsAt; driver.now += stepMs) {
        for (const node of driver.nodes) {
            if (node.nextAt <= driver.now) {
                runExchange(driver, node);
                scheduleNode(driver, node);
            }
        }
    }
}

function scheduleNode(driver: GossipDriver, node: DriverNode): void {
    node.nextAt = driver.now + advanceRound(node.gossip, driver.random.next());
}

function runExchange(driver: GossipDriver, node: DriverNode): void {
    const partner = choosePartner(node.gossip, driver.random, driver.now);
    const target = driver.byUrl.get(partner?.url ?? "");
    if (partner === undefined || target === undefined) {
        return;
    }
    const request = build(driver, node);
    node.bytes += countRequestBytes(request, partner.instance);
    if (driver.isCut(node, target)) {
        recordCallFailure(node.gossip, partner, driver.now);
        return;
    }
    target.bytes += countRequestBytes(request, partner.instance);
    const fetchesOfTarget = receiveMessage(target.gossip, request, driver.now);
    const answer = build(driver, target);
    const bytes = answerHeaderBytes + rpcEnvelopeBytes + JSON.stringify(answer).length;
    target.bytes += bytes;
    node.bytes += bytes;
    const fetches = receiveMessage(node.gossip, answer, driver.now);
    fetches.forEach(fetch => fetchRevision(driver, node, fetch));
    fetchesOfTarget.forEach(fetch => fetchRevision(driver, target, fetch));
}

function build(driver: GossipDriver, node: DriverNode): GossipMessage {
    const { revision, digest } = node.spread.newest;
    updateRevision(node.gossip, revision, digest);
    return buildMessage(node.gossip, driver.random);
}

function countRequestBytes(message: GossipMessage, target: string | undefined): number {
    const body = JSON.stringify(message);
    const headers = Object.entries(createSignedHeaders(identity, "/rpc", body, target))
        .reduce((sum, [name, value]) => sum + name.length + value.length + 4, 0);
    const others =
        "POST /rpc HTTP/1.1\r\nhost: 10.0.0.10:7001\r\nconnection: keep-alive\r\ncontent-length: 600\r\n\r\n";
    return others.length + headers + rpcEnvelopeBytes + body.length;
}

/** Fetches the document; its bytes are left out, since they depend on the document. */
function fetchRevision(driver: GossipDriver, node: DriverNode, { url, revision }: FetchRevisionAction): void {
    const source = driver.byUrl.get(url);
    if (source === undefined || source.spread.newest.revision < revision) {
        return;
    }
    deliverRevision(driver, node, source.spread.newest);
}

/** Hands a revision to a node, as a peer or the log would. */
export function deliverRevision(driver: GossipDriver, node: DriverNode, offer: Revision): void {
    const before = node.spread.activeConfig.revision;
    handleRevisionEvent(node.spread, { kind: "peer", candidate: offer }, driver.now);
    if (node.spread.activeConfig.revision > before) {
        node.inForceAt = driver.now;
        updateRevision(node.gossip, offer.revision, offer.digest);
        scheduleNode(driver, node);
    }
}

/** Counts the nodes that run `revision`. */
export function countInForce(driver: GossipDriver, revision: number): number {
    return driver.nodes.filter(node => node.spread.activeConfig.revision >= revision).length;
}

/** Counts the nodes that take `instance` for leaving. */
export function countLeaving(driver: GossipDriver, instance: string): number {
    return driver.nodes.filter(node => node.gossip.members.get(instance)?.state === "leaving").length;
}
