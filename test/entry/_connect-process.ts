/** Child process that opens `count` connections to a port, and after `waitMs` sends its parent the number that were established. */
import {connect} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';

const [port = '', count = '', waitMs = ''] = process.argv.slice(2);

let open = 0;
const sockets = Array.from({length: Number(count)}, () => connect(Number(port), '127.0.0.1')
	.on('error', () => undefined)
	.on('connect', () => {
		open++;
	}));
await delay(Number(waitMs));
process.send?.(open);
for (const socket of sockets) {
	socket.destroy();
}

process.disconnect();
