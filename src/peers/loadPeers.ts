/** Network I/O of the gossip protocol in `gossip.ts`: calls peers and handles their calls. */
import { Agent } from "undici";
import type { Revision } from "../config/revision.js";
import type { Random } from "../core/random.js";
import type { InstanceRecord } from "../core/types.js";
import { requestRpc, type RpcIdentity, type RpcMethods } from "../wire/rpc.js";
import {
    advanceRound,
    applyInstanceList,
    buildMessage,
    choosePartner,
    combineInstances,
    createGossipState,
    type FetchRevisionAction,
    type GossipState,
    isSilent,
    type Partner,
    receiveMessage,
    recordCallFailure,
    updateRevision,
} from "./gossip.js";
import { type GossipMessage, GossipMessageSchema, type MemberInfo, PeerMethod, RevisionSchema } from "./messages.js";

const callTimeoutMs = 1000;
const fetchTimeoutMs = 3000;
const keepAliveMs = 300_000;
/** Maximum number of members and seeds with which a process exchanges messages in parallel. */
const maxParallelExchanges = 8;

export interface PeersOptions {
    identity: RpcIdentity;
    /** Its `url` is set by `start`. */
    self: MemberInfo;
    /** URLs to call while no member can be called. */
    seeds: string[];
    random: Random;
    /** Returns the newest revision of this process. */
    getRevision: () => Revision;
    /** Returns the load of this process's upstream, in tokens; 0 for entries. */
    getLoad: () => number;
    /** Called with a revision that was fetched from a peer. */
    onRevision: (revision: Revision) => void;
    /** Called with the size of each message body. */
    countBytes: (direction: "sent" | "received", bytes: number) => void;
}

/** Gossip of a process with its peers. */
export interface Peers {
    state: GossipState;
    /** Handlers of the RPC methods that peers call. */
    methods: RpcMethods;
    /** Starts gossiping; `url` is the internal URL at which peers reach this process. */
    start: (url: string) => void;
    /** Spreads a revision that has just become the newest one of this process. */
    announceRevision: (revision: Revision) => void;
    /** Applies the platform's instance list. */
    updateInstances: (instances: InstanceRecord[]) => void;
    /** Lists the instances of the last list merged with those known by gossip; see `combineInstances`. */
    listInstances: () => InstanceRecord[];
    /**
     * Exchanges messages with peers of the same data centre; resolves to the number of responses and the highest
     * revision among them.
     */
    exchangeWithDataCentre: () => Promise<{ responses: number; newest: number; }>;
    /** Immediately informs peers of the same data centre that this process is leaving. */
    announceLeaving: () => Promise<void>;
    /** Lists the instances that neither respond to calls nor make any. */
    listSilent: () => string[];
    /** Stops gossiping and closes all connections. */
    stop: () => void;
}

/** Creates the gossip of a process. Its `methods` work at once; calls to peers begin with `start`. */
export function createPeers(options: PeersOptions): Peers {
    const { random, self, seeds } = options;
    const state = createGossipState(self, seeds);
    const agent = new Agent({ connections: 2, keepAliveTimeout: keepAliveMs, keepAliveMaxTimeout: keepAliveMs });
    const fetching = new Set<string>();
    let timer: NodeJS.Timeout | undefined;
    let stopped = false;
    let listed: InstanceRecord[] = [];

    const composeMessage = () => {
        const { revision, digest } = options.getRevision();
        updateRevision(state, revision, digest);
        state.load = options.getLoad();
        return buildMessage(state, random);
    };
    const fetchRevision = async ({ url, revision, digest }: FetchRevisionAction) => {
        if (fetching.has(digest) || revision <= options.getRevision().revision) {
            return;
        }
        fetching.add(digest);
        try {
            const call = { dispatcher: agent, timeoutMs: fetchTimeoutMs };
            const result = await requestRpc(options.identity, url, PeerMethod.revision, { revision }, call);
            options.onRevision(RevisionSchema.parse(result) as Revision);
        }
        catch {
            // Retried when the next message announces the revision.
        }
        finally {
            fetching.delete(digest);
        }
    };
    const handleMessage = (message: GossipMessage) => {
        options.countBytes("received", JSON.stringify(message).length);
        const { revision, digest } = options.getRevision();
        updateRevision(state, revision, digest);
        return receiveMessage(state, message, Date.now()).map(fetchRevision);
    };
    const exchangeWith = async (partner: Partner): Promise<number | undefined> => {
        try {
            const message = composeMessage();
            options.countBytes("sent", JSON.stringify(message).length);
            const call = { dispatcher: agent, timeoutMs: callTimeoutMs, target: partner.instance };
            const result = await requestRpc(options.identity, partner.url, PeerMethod.gossip, message, call);
            const response = GossipMessageSchema.parse(result);
            await Promise.all(handleMessage(response));
            return response.revision;
        }
        catch {
            recordCallFailure(state, partner, Date.now());
            return undefined;
        }
    };
    const scheduleRound = () => {
        clearTimeout(timer);
        if (!stopped) {
            timer = setTimeout(() => void runRound(), advanceRound(state, random.next()));
        }
    };
    const runRound = async () => {
        scheduleRound();
        const partner = choosePartner(state, random, Date.now());
        if (partner !== undefined) {
            await exchangeWith(partner);
        }
    };

    return {
        state,
        methods: {
            [PeerMethod.gossip]: (params: unknown) => {
                handleMessage(GossipMessageSchema.parse(params));
                const response = composeMessage();
                options.countBytes("sent", JSON.stringify(response).length);
                return response;
            },
            [PeerMethod.revision]: () => options.getRevision(),
        },
        start: url => {
            state.self = { ...state.self, url };
            scheduleRound();
        },
        announceRevision: ({ revision, digest }) => {
            updateRevision(state, revision, digest);
            scheduleRound();
        },
        updateInstances: instances => {
            listed = instances;
            applyInstanceList(state, instances, Date.now());
        },
        listInstances: () => combineInstances(state, listed),
        exchangeWithDataCentre: async () => {
            const results = await Promise.all(listDataCentrePartners(state).map(exchangeWith));
            const revisions = results.filter(revision => revision !== undefined);
            return { responses: revisions.length, newest: Math.max(0, ...revisions) };
        },
        announceLeaving: async () => {
            state.self = { ...state.self, state: "leaving" };
            await Promise.all(listDataCentrePartners(state).map(exchangeWith));
        },
        listSilent: () =>
            [...state.members.values()].filter(member => isSilent(member, Date.now())).map(m => m.instance),
        stop: () => {
            stopped = true;
            clearTimeout(timer);
            void agent.destroy();
        },
    };
}

function listDataCentrePartners(state: GossipState): Partner[] {
    const localMembers = [...state.members.values()].filter(member => member.dataCentre === state.self.dataCentre);
    const seeds = state.seeds.map(url => ({ instance: undefined, url }));
    return [...localMembers.map(({ instance, url }) => ({ instance, url })), ...seeds].slice(0, maxParallelExchanges);
}
