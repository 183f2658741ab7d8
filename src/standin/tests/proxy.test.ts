import { connect, createServer, type Server, type Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { type FaultProxy, startFaultProxy } from "../proxy.js";

const openResources: (Server | FaultProxy)[] = [];
afterEach(() => openResources.splice(0).forEach(resource => resource.close()));

/** Starts a server behind a fault proxy and connects to it; resolves with the sockets of both ends and the proxy. */
async function connectThroughProxy(): Promise<{ client: Socket; server: Socket; proxy: FaultProxy; }> {
    const target = createServer();
    await new Promise<void>(resolve => target.listen(0, "127.0.0.1", resolve));
    const accepted = new Promise<Socket>(resolve => target.once("connection", resolve));
    const proxy = await startFaultProxy(0, (target.address() as { port: number; }).port);
    openResources.push(target, proxy);
    const client = connect(proxy.port, "127.0.0.1");
    const server = await accepted;
    // The proxy resets the connections that are left when it is closed after the test.
    [client, server].forEach(socket => socket.on("error", () => undefined));
    return { client, server, proxy };
}

function readToEnd(socket: Socket): Promise<string> {
    return new Promise(resolve => {
        let text = "";
        socket.setEncoding("utf8");
        socket.on("data", (chunk: string) => text += chunk);
        socket.on("close", () => resolve(text));
    });
}

test("bytes keep their order and the end comes last when a delay ends in between", async () => {
    const { client, server, proxy } = await connectThroughProxy();
    const received = readToEnd(client);
    proxy.setDelay(80);
    server.write("1 2 3 ");
    await new Promise(resolve => setTimeout(resolve, 20));
    proxy.setDelay(0);
    server.write("4 5 6");
    server.end();
    client.end();
    expect(await received).toBe("1 2 3 4 5 6");
});

test("bytes keep their order when many come while a delay lasts", async () => {
    const { client, server, proxy } = await connectThroughProxy();
    const received = readToEnd(client);
    const sent: string[] = [];
    proxy.setDelay(30);
    for (let i = 0; i < 60; i++) {
        sent.push(`${i} `);
        server.write(`${i} `);
        await new Promise(resolve => setTimeout(resolve, i % 3));
        proxy.setDelay(i % 5 === 4 ? 0 : 30);
    }
    server.end();
    client.end();
    expect(await received).toBe(sent.join(""));
});

test("a muted end is lost while the other one still arrives, also after it is healed", async () => {
    const { client, server, proxy } = await connectThroughProxy();
    const atServer = new Promise<string>(resolve => server.once("data", chunk => resolve(String(chunk))));
    let atClient = "";
    client.on("data", chunk => atClient += String(chunk));
    proxy.dropDataFrom("server");
    client.write("question");
    expect(await atServer).toBe("question");
    server.write("answer");
    await new Promise(resolve => setTimeout(resolve, 30));
    proxy.heal();
    server.write("more");
    await new Promise(resolve => setTimeout(resolve, 30));
    expect(atClient).toBe("");
    client.destroy();
});
