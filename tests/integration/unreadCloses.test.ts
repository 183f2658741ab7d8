/** With slots in the path a caller left with bytes on its connection that the entry did not read, and its run went on. */
import type { Socket } from "node:net";
import { afterEach, describe, expect, test } from "vitest";
import { createDemoDocument, demoKeys } from "../../src/demo/document.js";
import { type BrokenUpstream, startBrokenUpstream } from "../../src/standin/brokenUpstream.js";
import { type Cluster, startCluster } from "../../src/standin/cluster.js";
import {
    type LeavingForm,
    listLeavingForms,
    openLeavingCaller,
    waysToLeave,
} from "../../src/standin/leavingCallers.js";
import { publishDocument } from "../../src/standin/publish.js";
import { formatRequest, openRawConnection } from "../../src/standin/rawConnection.js";

/** Time after a caller has left within which its run is left, in milliseconds. */
const maxLeaveMs = 500;
const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

type Respond = (socket: Socket) => void;

/** What the upstream does with a request, by description. */
const responses: Record<string, Respond> = {
    "has not responded": () => undefined,
    "sends an event now and then": socket => {
        socket.write(head);
        const timer = setInterval(() => socket.write("data: x\n\n"), 50);
        socket.on("close", () => clearInterval(timer));
    },
    "sends events without end": socket => {
        const send = () => {
            let hasSpace = !socket.destroyed;
            while (hasSpace) {
                hasSpace = socket.write(`data: ${"x".repeat(10_000)}\n\n`);
            }
        };
        socket.write(head);
        socket.on("drain", () => setTimeout(send, 5));
        send();
    },
};

let cluster: Cluster;
let upstream: BrokenUpstream;
/** Paths of the requests that the upstream has had, and of those whose connections are open. */
const requested: string[] = [];
const open = new Set<string>();
afterEach(async () => {
    await cluster.stop();
    upstream.close();
    requested.splice(0);
    open.clear();
});

async function startPlay(respond: Respond): Promise<void> {
    upstream = await startBrokenUpstream((socket, requestHead) => {
        const path = requestHead.split(" ")[1];
        requested.push(path);
        open.add(path);
        socket.on("close", () => open.delete(path));
        respond(socket);
    });
    const url = `http://${upstream.host}:${upstream.port}`;
    const served = { url, runs: new Map(), runsByKey: new Map(), close: upstream.close };
    const slot = { instance: "slot-1", dataCentre: "dc-a", pool: "claims", kind: "plain" } as const;
    cluster = await startCluster(
        [{ instance: "entry-1", dataCentre: "dc-a" }],
        [{ ...slot, upstream: served, isUpstreamDirect: true, isSlotDirect: true }],
    );
    await publishDocument(cluster, createDemoDocument());
}

const formatCall = (path: string) => (body: string) =>
    formatRequest(`POST ${path} HTTP/1.1`, [`authorization: Bearer ${demoKeys.caseworkers}`], body);

const describeForm = ({ behind, reading, way }: LeavingForm) => `${way}, ${reading} and has ${behind} behind it`;

describe.each(Object.keys(responses))("with slots in the path an upstream that %s is left soon", name => {
    test("after its caller has left in any way", async () => {
        await startPlay(responses[name]);
        const forms = listLeavingForms();
        const callers = forms.map((form, i) => {
            const path = `/lookups/${i}`;
            return { form, path, connection: openLeavingCaller(cluster.entries[0].url, form, formatCall(path)) };
        });
        await expect.poll(() => open.size, { timeout: 5000, interval: 10 }).toBe(forms.length);
        await wait(500);
        callers.forEach(({ form, connection }) => waysToLeave[form.way](connection.socket));
        await wait(maxLeaveMs);
        const stillOpen = new Set(open);
        await wait(100);
        const found = callers.map(({ form, path }) => {
            const count = requested.filter(other => other === path).length;
            return `${describeForm(form)}: ${stillOpen.has(path) ? 1 : 0} runs go on, ${count} in all`;
        });
        expect(found).toEqual(forms.map(form => `${describeForm(form)}: 0 runs go on, 1 in all`));
    });
});

test("with slots in the path an upstream is left soon by a caller that leaves some milliseconds after its request", async () => {
    await startPlay(responses["has not responded"]);
    for (let i = 0; i < 40; i++) {
        const request = formatCall(`/lookups/${i}`)("x");
        const connection = openRawConnection(cluster.entries[0].url, request);
        await new Promise(resolve => connection.socket.once("connect", resolve));
        await wait(i % 8);
        connection.socket.destroy();
    }
    await wait(maxLeaveMs);
    expect([...open]).toEqual([]);
});
