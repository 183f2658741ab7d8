/** UDP socket for messages between processes. */
import { createSocket } from "node:dgram";

export interface DatagramSocket {
    /** Sends a datagram without waiting for the result; it may be lost. */
    send: (bytes: Buffer, host: string, port: number) => void;
    close: () => void;
}

/** Binds a socket; rejects if the address cannot be bound. Later errors are passed to `onError`. */
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
