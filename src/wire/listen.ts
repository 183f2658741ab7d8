/** Binds servers to their configured addresses. */
import type { Server } from "node:http";

/** Binds a server; rejects when the address is taken. */
export function listenOn(server: Server, host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port, exclusive: true }, () => resolve((server.address() as { port: number; }).port));
    });
}
