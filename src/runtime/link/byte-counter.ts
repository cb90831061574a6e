/** Counts the bytes of all open and closed connections of a link mesh: the links of one VM to its peers. */
import {type Socket} from 'node:net';

export type ByteCounter = {
	readonly watch: (socket: Socket) => void;
	readonly totals: () => {readonly bytesSent: number; readonly bytesReceived: number};
};

/** Creates a counter; `watch` adds a socket to it. */
export const createByteCounter = (): ByteCounter => {
	const open = new Set<Socket>();
	let closedSent = 0;
	let closedReceived = 0;

	return {
		watch(socket) {
			open.add(socket);
			socket.once('close', () => {
				open.delete(socket);
				closedSent += socket.bytesWritten;
				closedReceived += socket.bytesRead;
			});
		},
		totals() {
			let bytesSent = closedSent;
			let bytesReceived = closedReceived;
			for (const socket of open) {
				bytesSent += socket.bytesWritten;
				bytesReceived += socket.bytesRead;
			}

			return {bytesSent, bytesReceived};
		},
	};
};
