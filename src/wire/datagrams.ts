/** A socket for datagrams between processes. */
import { createSocket } from "node:dgram";

export interface DatagramSocket {
    /** Sends without waiting; a datagram may be lost. */
    send: (bytes: Buffer, host: string, port: number) => void;
    close: () => void;
}

/** Binds a socket; `onError` hears of what could not be sent. */
export function bindDatagramSocket(
    address: { host: string; port: number; },
    onMessage: (bytes: Buffer, host: string) => void,
    onError: (error: Error) => void,
): Promise<DatagramSocket> {
    const socket = createSocket("udp4");
    return new Promise((resolve, reject) => {
        socket.once("error", reject);
        socket.bind(address.port, address.host, () => {
            socket.off("error", reject);
            socket.on("error", onError);
            socket.on("message", (bytes, from) => onMessage(bytes, from.address));
            resolve({
                send: (bytes, host, port) =>
                    socket.send(bytes, port, host, error => {
                        if (error) {
                            onError(error);
                        }
                    }),
                close: () => socket.close(),
            });
        });
    });
}
