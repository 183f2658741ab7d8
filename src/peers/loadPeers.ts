/** Calls peers and answers them: the I/O around `gossip.ts`. */
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
/** Members of the own data centre that a fresh process asks at once. */
const maxParallelExchanges = 8;

export interface PeersOptions {
    identity: RpcIdentity;
    /** Its `url` is set by `start`. */
    self: MemberInfo;
    seeds: string[];
    random: Random;
    getRevision: () => Revision;
    getLoad: () => number;
    /** Takes a revision that a peer handed over. */
    onRevision: (revision: Revision) => void;
    countBytes: (direction: "sent" | "received", bytes: number) => void;
}

export interface Peers {
    state: GossipState;
    methods: RpcMethods;
    /** Starts to gossip under the internal address of this process. */
    start: (url: string) => void;
    /** Tells peers soon of a revision that has just become the newest here. */
    announceRevision: (revision: Revision) => void;
    /** Takes in the platform's list. */
    updateInstances: (instances: InstanceRecord[]) => void;
    /** Instances of the last list and those that peers told of, with leaving marks from either. */
    listInstances: () => InstanceRecord[];
    /** Asks peers of the own data centre at once; tells how many answered and their highest revision. */
    exchangeWithDataCentre: () => Promise<{ answered: number; newest: number; }>;
    /** Tells peers that this process is leaving, at once. */
    announceLeaving: () => Promise<void>;
    /** Instances that neither answer nor call. */
    listSilent: () => string[];
    stop: () => void;
}

/** Creates the peers of a process; it answers at once and calls after `start`. */
export function createPeers(options: PeersOptions): Peers {
    const { random, self, seeds } = options;
    const state = createGossipState(self, seeds);
    const agent = new Agent({ connections: 2, keepAliveTimeout: keepAliveMs, keepAliveMaxTimeout: keepAliveMs });
    const fetching = new Set<string>();
    let timer: NodeJS.Timeout | undefined;
    let stopped = false;
    let listed: InstanceRecord[] = [];

    const compose = () => {
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
            const answer = await requestRpc(options.identity, url, PeerMethod.revision, { revision }, call);
            options.onRevision(RevisionSchema.parse(answer) as Revision);
        }
        catch {
            // The next message from a peer with the revision leads to another try.
        }
        finally {
            fetching.delete(digest);
        }
    };
    const receive = (message: GossipMessage) => {
        options.countBytes("received", JSON.stringify(message).length);
        const { revision, digest } = options.getRevision();
        updateRevision(state, revision, digest);
        return receiveMessage(state, message, Date.now()).map(fetchRevision);
    };
    const exchangeWith = async (partner: Partner): Promise<number | undefined> => {
        try {
            const message = compose();
            options.countBytes("sent", JSON.stringify(message).length);
            const call = { dispatcher: agent, timeoutMs: callTimeoutMs, target: partner.instance };
            const answer = await requestRpc(options.identity, partner.url, PeerMethod.gossip, message, call);
            const parsed = GossipMessageSchema.parse(answer);
            await Promise.all(receive(parsed));
            return parsed.revision;
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
                receive(GossipMessageSchema.parse(params));
                const answer = compose();
                options.countBytes("sent", JSON.stringify(answer).length);
                return answer;
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
            const answers = await Promise.all(listDataCentrePartners(state).map(exchangeWith));
            const revisions = answers.filter(revision => revision !== undefined);
            return { answered: revisions.length, newest: Math.max(0, ...revisions) };
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
    const own = [...state.members.values()].filter(member => member.dataCentre === state.self.dataCentre);
    const seeds = state.seeds.map(url => ({ instance: undefined, url }));
    return [...own.map(({ instance, url }) => ({ instance, url })), ...seeds].slice(0, maxParallelExchanges);
}
