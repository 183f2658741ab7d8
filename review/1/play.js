/** Streams that a server breaks off are resumed at a server that answers with an error of its own. */
import { createHost, createPrograms, createRecord, hasTrouble, runCase, startStore, wait } from "../lib/harness.js";
import { createConfig, createListEntry } from "../lib/load.js";
import { createStreamClient, startModelServer } from "../lib/streams.js";

const events = 28;
const serverCount = 8;
/** Four of eight servers (0.5) break off one of 34 streams (under 0.03) for 5 s, again and again. */
const breakingServers = 4;
const brokenEvery = 34;
/** One of eight servers (0.125) answers four of ten requests with status 500. */
const greyServer = 7;
const errorShare = 0.4;
const roundCount = 8;
const troubleMs = 5000;
const pauseMs = 1000;
const clientCount = 48;
const record = createRecord(import.meta.url);

await runCase(record, async () => {
    const store = await startStore(createHost(1));
    const entryHost = createHost(11);
    const programs = await createPrograms(store.address, [entryHost]);
    let isTrouble = false;
    let streams = 0;
    const createPlan = server => () => {
        const plan = { events, gapMs: 10 };
        if (isTrouble && server < breakingServers && ++streams % brokenEvery === 0) {
            return { ...plan, brokenAfter: 10 };
        }
        return isTrouble && server === greyServer && Math.random() < errorShare ? { ...plan, status: 500 } : plan;
    };
    const servers = await Promise.all(
        Array.from(
            { length: serverCount },
            (ignored, server) =>
                startModelServer(record, { id: `m-${server}`, index: 21 + server, plan: createPlan(server) }),
        ),
    );
    const route = { path_prefix: "/draft/", kind: "streaming", service: "models", target_gap_ms: 120 };
    const config = createConfig(3, [{ ...route, stream_resume: true, max_attempts: 2 }], ["models"]);
    store.put("keyed.op", "config", config);
    servers.forEach(server => store.put("keyed.servers", server.id, createListEntry(server)));
    programs.launch("entry", entryHost);
    if (!await programs.waitReady(entryHost)) {
        throw new Error("the entry is not ready");
    }
    const answers = [];
    let isStopping = false;
    const runClient = async client => {
        const { send } = createStreamClient(record, { host: entryHost, port: programs.ports.front });
        for (let count = 0; !isStopping; count++) {
            answers.push(await send(`c${client}-${count}`, "/draft/1"));
        }
    };
    const clients = Array.from({ length: clientCount }, (ignored, client) => runClient(client));
    for (let round = 0; round < roundCount; round++) {
        await wait(pauseMs);
        isTrouble = hasTrouble;
        await wait(troubleMs);
        isTrouble = false;
    }
    isStopping = true;
    await Promise.all(clients);
    const createBody = id => Array.from({ length: events }, (ignored, i) => `id: ${i + 1}\ndata: ${id}\n\n`).join("");
    const whole = answers.filter(({ status, isComplete }) => status === 200 && isComplete);
    const wrong = whole.filter(({ id, body }) => body !== createBody(id));
    wrong.forEach(({ id, body }) => {
        const count = body.split("\n\n").length - 1;
        record.add(
            `${id} ended as complete with ${count} of ${events} events; its last bytes: ${
                JSON.stringify(body.slice(-40))
            }`,
        );
    });
    record.add(
        `streams ${answers.length}, complete ${whole.length}, of these short or with foreign bytes ${wrong.length}, allowed 0`,
    );
    return wrong.length > 0;
});
