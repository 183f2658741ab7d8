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

export interface SimulatedNode {
    gossip: GossipState;
    revisions: RevisionState;
    bytes: number;
    /** Time of its next exchange, in milliseconds. */
    nextExchangeAt: number;
    /** Time at which the newest revision came into force, in milliseconds. */
    activatedAt: number;
}

export interface GossipSimulation {
    nodes: SimulatedNode[];
    random: Random;
    now: number;
    nodesByUrl: Map<string, SimulatedNode>;
    isLinkCut: (from: SimulatedNode, to: SimulatedNode) => boolean;
}

export const secondMs = 1000;
const timeStepMs = 50;
const dataCentreCount = 4;
const maxKnownInstances = 96;
const slotShare = 2 / 3;
const rpcEnvelopeBytes = JSON.stringify({ jsonrpc: "2.0", id: 1, method: "gossip", params: "" }).length - 2;
const responseHeaderBytes =
    ("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nDate: Thu, 01 Jan 1970 00:00:00 GMT\r\n" +
        "Connection: keep-alive\r\nKeep-Alive: timeout=5\r\nContent-Length: 600\r\n\r\n").length;
const rpcIdentity = { environment: "production", internalKeys: ["bench-key-of-a-usual-length-0123"] };

/** Creates nodes that have read the list, or a part of it. */
export function createGossipSimulation(count: number, seed: number): GossipSimulation {
    const random = createRandom(seed);
    const list = Array.from({ length: count }, (item, index) => createInstance(index, count));
    const nodes = list.map((record): SimulatedNode => {
        const gossip = createGossipState({ ...record, incarnation: 1_700_000_000_000 }, []);
        applyInstanceList(gossip, sampleInstances(list, random), 0);
        return { gossip, revisions: createRevisionState("production", 0), bytes: 0, nextExchangeAt: 0, activatedAt: 0 };
    });
    nodes.forEach(node => {
        node.nextExchangeAt = random.next() * 2 * secondMs;
    });
    const byUrl = new Map(nodes.map(node => [node.gossip.self.url, node]));
    return { nodes, random, now: 0, nodesByUrl: byUrl, isLinkCut: () => false };
}

function sampleInstances(list: InstanceRecord[], random: Random): InstanceRecord[] {
    if (list.length <= maxKnownInstances) {
        return list;
    }
    return Array.from({ length: maxKnownInstances }, () => list[random.pickIndex(list.length)]);
}

function createInstance(index: number, count: number): InstanceRecord {
    return {
        instance: index < count * slotShare ? `slot-${index}` : `entry-${index}`,
        role: index < count * slotShare ? "slot" : "entry",
        dataCentre: `dc-${index % dataCentreCount}`,
        url: `http://10.${index % dataCentreCount}.${index >> 8}.${index & 255}:7001`,
        state: "live",
    };
}

/** Cuts a share of all pairs of nodes, alike in both directions and for good. */
export function cutLinks(driver: GossipSimulation, share: number): void {
    const cut = new Map<string, boolean>();
    const random = createRandom(driver.random.pickIndex(1_000_000));
    driver.isLinkCut = (from, to) => {
        const names = [from.gossip.self.instance, to.gossip.self.instance].sort().join("/");
        const known = cut.get(names) ?? random.next() < share;
        cut.set(names, known);
        return known;
    };
}

/** Runs one second. */
export function runSecond(driver: GossipSimulation): void {
    const endsAt = driver.now + secondMs;
    for (; driver.now < endsAt; driver.now += timeStepMs) {
        for (const node of driver.nodes) {
            if (node.nextExchangeAt <= driver.now) {
                runExchange(driver, node);
                scheduleNextExchange(driver, node);
            }
        }
    }
}

function scheduleNextExchange(driver: GossipSimulation, node: SimulatedNode): void {
    node.nextExchangeAt = driver.now + advanceRound(node.gossip, driver.random.next());
}

function runExchange(driver: GossipSimulation, node: SimulatedNode): void {
    const partner = choosePartner(node.gossip, driver.random, driver.now);
    const target = driver.nodesByUrl.get(partner?.url ?? "");
    if (partner === undefined || target === undefined) {
        return;
    }
    const request = buildGossipMessage(driver, node);
    node.bytes += countRequestBytes(request, partner.instance);
    if (driver.isLinkCut(node, target)) {
        recordCallFailure(node.gossip, partner, driver.now);
        return;
    }
    target.bytes += countRequestBytes(request, partner.instance);
    const fetchesOfTarget = receiveMessage(target.gossip, request, driver.now);
    const answer = buildGossipMessage(driver, target);
    const bytes = responseHeaderBytes + rpcEnvelopeBytes + JSON.stringify(answer).length;
    target.bytes += bytes;
    node.bytes += bytes;
    const fetches = receiveMessage(node.gossip, answer, driver.now);
    fetches.forEach(fetch => fetchRevision(driver, node, fetch));
    fetchesOfTarget.forEach(fetch => fetchRevision(driver, target, fetch));
}

function buildGossipMessage(driver: GossipSimulation, node: SimulatedNode): GossipMessage {
    const { revision, digest } = node.revisions.newest;
    updateRevision(node.gossip, revision, digest);
    return buildMessage(node.gossip, driver.random);
}

function countRequestBytes(message: GossipMessage, target: string | undefined): number {
    const body = JSON.stringify(message);
    const headers = Object.entries(createSignedHeaders(rpcIdentity, "/rpc", body, target))
        .reduce((sum, [name, value]) => sum + name.length + value.length + 4, 0);
    const others =
        "POST /rpc HTTP/1.1\r\nhost: 10.0.0.10:7001\r\nconnection: keep-alive\r\ncontent-length: 600\r\n\r\n";
    return others.length + headers + rpcEnvelopeBytes + body.length;
}

/** Fetches the document; its bytes are left out, since they depend on the document. */
function fetchRevision(driver: GossipSimulation, node: SimulatedNode, { url, revision }: FetchRevisionAction): void {
    const source = driver.nodesByUrl.get(url);
    if (source === undefined || source.revisions.newest.revision < revision) {
        return;
    }
    deliverRevision(driver, node, source.revisions.newest);
}

/** Hands a revision to a node, as a peer or the log would. */
export function deliverRevision(driver: GossipSimulation, node: SimulatedNode, offer: Revision): void {
    const before = node.revisions.activeConfig.revision;
    handleRevisionEvent(node.revisions, { kind: "peer", candidate: offer }, driver.now);
    if (node.revisions.activeConfig.revision > before) {
        node.activatedAt = driver.now;
        updateRevision(node.gossip, offer.revision, offer.digest);
        scheduleNextExchange(driver, node);
    }
}

/** Counts the nodes that run `revision`. */
export function countNodesWithRevision(driver: GossipSimulation, revision: number): number {
    return driver.nodes.filter(node => node.revisions.activeConfig.revision >= revision).length;
}

/** Counts the nodes that take `instance` for leaving. */
export function countNodesAwareOfLeaving(driver: GossipSimulation, instance: string): number {
    return driver.nodes.filter(node => node.gossip.members.get(instance)?.state === "leaving").length;
}
