/**
 * Simulates gossip between many nodes (entries and slots) in one process, with simulated time in steps of 50 ms: how
 * revisions of the configuration document spread. Each node uses the production gossip and revision modules, which
 * choose its partners and the times of its exchanges. Initially it knows only a random sample of the others, to bound
 * memory. Not simulated: latency, timeouts (calls over a cut link fail at once), CPU time, TCP and IP headers.
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
    /** Bytes sent and received, in HTTP messages with their headers. */
    bytes: number;
    /** Simulated time of the next exchange, in milliseconds. */
    nextExchangeAt: number;
    /** Simulated time at which the active revision was activated, in milliseconds; 0 if there is none. */
    activatedAt: number;
}

export interface GossipSimulation {
    nodes: SimulatedNode[];
    random: Random;
    /** Simulated time, in milliseconds. */
    now: number;
    nodesByUrl: Map<string, SimulatedNode>;
    isLinkCut: (from: SimulatedNode, to: SimulatedNode) => boolean;
}

export const secondMs = 1000;
const timeStepMs = 50;
const dataCentreCount = 4;
/** Maximum number of instances that a node knows initially. */
const maxKnownInstances = 96;
/** Fraction of the nodes that are slots; the others are entries. */
const slotShare = 2 / 3;
const rpcEnvelopeBytes = JSON.stringify({ jsonrpc: "2.0", id: 1, method: "gossip", params: "" }).length - 2;
const responseHeaderBytes =
    ("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nDate: Thu, 01 Jan 1970 00:00:00 GMT\r\n" +
        "Connection: keep-alive\r\nKeep-Alive: timeout=5\r\nContent-Length: 600\r\n\r\n").length;
const rpcIdentity = { environment: "production", internalKeys: ["bench-key-of-a-usual-length-0123"] };

/** Creates `count` nodes that have read the instance list, or a random sample of a long one. */
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

/** Cuts the links of a random fraction of all pairs of nodes permanently, in both directions. */
export function cutLinks(simulation: GossipSimulation, share: number): void {
    const cutByPair = new Map<string, boolean>();
    const random = createRandom(simulation.random.pickIndex(1_000_000));
    simulation.isLinkCut = (from, to) => {
        const pair = [from.gossip.self.instance, to.gossip.self.instance].sort().join("/");
        const isCut = cutByPair.get(pair) ?? random.next() < share;
        cutByPair.set(pair, isCut);
        return isCut;
    };
}

/** Runs one second of simulated time. */
export function runSecond(simulation: GossipSimulation): void {
    const endTime = simulation.now + secondMs;
    for (; simulation.now < endTime; simulation.now += timeStepMs) {
        for (const node of simulation.nodes) {
            if (node.nextExchangeAt <= simulation.now) {
                runExchange(simulation, node);
                scheduleNextExchange(simulation, node);
            }
        }
    }
}

function scheduleNextExchange(simulation: GossipSimulation, node: SimulatedNode): void {
    node.nextExchangeAt = simulation.now + advanceRound(node.gossip, simulation.random.next());
}

function runExchange(simulation: GossipSimulation, node: SimulatedNode): void {
    const partner = choosePartner(node.gossip, simulation.random, simulation.now);
    const target = simulation.nodesByUrl.get(partner?.url ?? "");
    if (partner === undefined || target === undefined) {
        return;
    }
    const request = buildGossipMessage(simulation, node);
    node.bytes += countRequestBytes(request, partner.instance);
    if (simulation.isLinkCut(node, target)) {
        recordCallFailure(node.gossip, partner, simulation.now);
        return;
    }
    target.bytes += countRequestBytes(request, partner.instance);
    const fetchesOfTarget = receiveMessage(target.gossip, request, simulation.now);
    const response = buildGossipMessage(simulation, target);
    const responseBytes = responseHeaderBytes + rpcEnvelopeBytes + JSON.stringify(response).length;
    target.bytes += responseBytes;
    node.bytes += responseBytes;
    const fetches = receiveMessage(node.gossip, response, simulation.now);
    fetches.forEach(fetch => fetchRevision(simulation, node, fetch));
    fetchesOfTarget.forEach(fetch => fetchRevision(simulation, target, fetch));
}

function buildGossipMessage(simulation: GossipSimulation, node: SimulatedNode): GossipMessage {
    const { revision, digest } = node.revisions.newest;
    updateRevision(node.gossip, revision, digest);
    return buildMessage(node.gossip, simulation.random);
}

function countRequestBytes(message: GossipMessage, target: string | undefined): number {
    const body = JSON.stringify(message);
    const signedHeaderBytes = Object.entries(createSignedHeaders(rpcIdentity, "/rpc", body, target))
        .reduce((sum, [name, value]) => sum + name.length + value.length + 4, 0);
    const requestHead =
        "POST /rpc HTTP/1.1\r\nhost: 10.0.0.10:7001\r\nconnection: keep-alive\r\ncontent-length: 600\r\n\r\n";
    return requestHead.length + signedHeaderBytes + rpcEnvelopeBytes + body.length;
}

/** Fetches a revision from a peer. Its bytes are not counted, since they depend on the document. */
function fetchRevision(
    simulation: GossipSimulation,
    node: SimulatedNode,
    { url, revision }: FetchRevisionAction,
): void {
    const source = simulation.nodesByUrl.get(url);
    if (source === undefined || source.revisions.newest.revision < revision) {
        return;
    }
    deliverRevision(simulation, node, source.revisions.newest);
}

/** Delivers a revision to a node as if it came from a peer; if it is activated, an exchange follows soon. */
export function deliverRevision(simulation: GossipSimulation, node: SimulatedNode, revision: Revision): void {
    const revisionBefore = node.revisions.activeConfig.revision;
    handleRevisionEvent(node.revisions, { kind: "peer", candidate: revision }, simulation.now);
    if (node.revisions.activeConfig.revision > revisionBefore) {
        node.activatedAt = simulation.now;
        updateRevision(node.gossip, revision.revision, revision.digest);
        scheduleNextExchange(simulation, node);
    }
}

/** Counts the nodes whose active revision is `revision` or newer. */
export function countNodesWithRevision(simulation: GossipSimulation, revision: number): number {
    return simulation.nodes.filter(node => node.revisions.activeConfig.revision >= revision).length;
}

/** Counts the nodes that have learned that `instance` is leaving. */
export function countNodesAwareOfLeaving(simulation: GossipSimulation, instance: string): number {
    return simulation.nodes.filter(node => node.gossip.members.get(instance)?.state === "leaving").length;
}
