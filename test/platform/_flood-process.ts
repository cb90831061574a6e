/** Callers in a process of their own: each opens a connection and sends one request at once. Reports what they got. */
import {connect} from 'node:net';
import process from 'node:process';

const [port = '', count = '', text = ''] = process.argv.slice(2);
/** Milliseconds after which a caller gives up. */
const WAIT_MS = 5000;

const call = async (index: number): Promise<{readonly status: number; readonly ms: number; readonly head: string}> => new Promise(resolve => {
	const startMs = performance.now();
	const socket = connect(Number(port), '127.0.0.1');
	let head = '';
	const finish = () => {
		socket.destroy();
		resolve({status: Number(head.split(' ')[1] ?? 0), ms: performance.now() - startMs, head});
	};

	socket.setTimeout(WAIT_MS, finish);
	socket.on('error', finish);
	socket.on('end', finish);
	socket.on('data', data => {
		head += data.toString();
		finish();
	});
	socket.write(text.replaceAll('ID', `flood-${index}`));
});

process.send?.(await Promise.all(Array.from({length: Number(count)}, async (_, index) => call(index))));
process.disconnect();
