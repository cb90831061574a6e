/** Machines that are replaced: each starts, has registered itself in the store as the system does, and is then removed for good. */
import process from 'node:process';
import {until} from './clock.mjs';
import {startRouter} from './router.mjs';

/** Machines that run at a time; each has gone before the next one in its place starts. */
const AT_ONCE = 6;
const REGISTER_LIMIT_MS = 10_000;

export const replaceMachines = async ({count, zones, storeAddress, hasRegistered}) => {
	let next = 0;
	const replaceInTurn = async () => {
		while (next < count) {
			next++;
			const zone = zones[next % zones.length];
			const router = startRouter({name: `edge-${zone}-${next}`, zone, storeAddress});
			// eslint-disable-next-line no-await-in-loop -- one machine after the other
			if (!await until(() => hasRegistered(router.name), REGISTER_LIMIT_MS)) {
				console.log(`${router.name} did not start: ${router.output.slice(0, 500)}`);
				process.exit(2);
			}

			await router.kill('SIGKILL'); // eslint-disable-line no-await-in-loop -- one machine after the other
		}
	};

	await Promise.all(Array.from({length: AT_ONCE}, async () => replaceInTurn()));
};
