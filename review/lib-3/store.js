/** Stand-in of the platform's store: keyed topics with one partition, read with `log-newest` and `log-read`. */
import { createServer } from "node:http";

/** Starts a store at `host`; `put` appends a record as the operator or a server, without a value to drop the key. */
export async function startStore(host) {
    const topics = new Map();
    const getTopic = name => {
        if (!topics.has(name)) {
            topics.set(name, { records: [], waiters: new Set() });
        }
        return topics.get(name);
    };
    const put = (name, key, value) => {
        const topic = getTopic(name);
        topic.records.push({ key, value });
        [...topic.waiters].forEach(wake => wake());
    };
    const listNewest = name => {
        const { records } = getTopic(name);
        const newest = new Map(records.map(({ key, value }, offset) => [key, { key, value, offset }]));
        const items = [...newest.values()].filter(({ value }) => value !== undefined)
            .map(({ key, value, offset }) => ({ key, value: Buffer.from(value).toString("base64"), offset }));
        return JSON.stringify({ items, has_more: false, end: records.length });
    };
    const encodeRead = (name, from) => {
        const { records } = getTopic(name);
        const header = Buffer.alloc(16);
        header.writeBigUInt64BE(BigInt(records.length), 0);
        const encoded = records.slice(from).map(({ key, value = "" }) => {
            const content = Buffer.concat([Buffer.from([key.length]), Buffer.from(key), Buffer.from(value)]);
            const length = Buffer.alloc(4);
            length.writeUInt32BE(content.length);
            return Buffer.concat([length, content]);
        });
        return Buffer.concat([header, ...encoded]);
    };
    const waitFor = ({ waiters }, ms) =>
        new Promise(resolve => {
            const wake = () => {
                clearTimeout(timer);
                waiters.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, ms);
            waiters.add(wake);
        });
    const append = async (name, message) => {
        const chunks = [];
        for await (const chunk of message) {
            chunks.push(chunk);
        }
        const body = Buffer.concat(chunks);
        const offset = getTopic(name).records.length;
        for (let at = 0; at + 4 < body.length; at += 4 + body.readUInt32BE(at)) {
            const content = body.subarray(at + 4, at + 4 + body.readUInt32BE(at));
            const value = content.subarray(1 + content[0]).toString();
            put(name, content.toString("utf8", 1, 1 + content[0]), value === "" ? undefined : value);
        }
        return JSON.stringify({ offset, end: getTopic(name).records.length });
    };
    const server = createServer(async (message, response) => {
        const { pathname, searchParams } = new URL(message.url, "http://store");
        const name = searchParams.get("topic");
        if (pathname === "/log-newest") {
            response.end(listNewest(name));
        }
        else if (pathname === "/log-append") {
            response.end(await append(name, message));
        }
        else if (pathname === "/log-read") {
            const from = Number(searchParams.get("from"));
            if (getTopic(name).records.length <= from) {
                await waitFor(getTopic(name), Number(searchParams.get("wait_ms") ?? 0));
            }
            response.end(encodeRead(name, from));
        }
        else {
            response.writeHead(404).end();
        }
    });
    await new Promise(resolve => server.listen(0, host, resolve));
    return { address: `${host}:${server.address().port}`, put };
}
