/** Waiting and the record of a run. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';

export {setTimeout as delay} from 'node:timers/promises';

/** Whether the disruption of the case is made. */
export const hasTrouble = process.env.TROUBLE !== '0';

const POLL_MS = 20;

/** Waits until a check returns something; returns it, or undefined after the time limit. */
export const until = async (check, limitMs) => {
	const endMs = Date.now() + limitMs;
	for (;;) {
		const found = await check(); // eslint-disable-line no-await-in-loop -- one check after the other
		if (found || Date.now() >= endMs) {
			return found;
		}

		await delay(POLL_MS); // eslint-disable-line no-await-in-loop -- one check after the other
	}
};

/** Collects the lines of a record beside the script, with the seconds since the start. */
export const createRecord = (script, name = 'record.txt') => {
	const startMs = Date.now();
	const lines = [];
	return {
		note(text) {
			lines.push(`${((Date.now() - startMs) / 1000).toFixed(3)} ${text}`);
		},
		say(text) {
			this.note(text);
			console.log(lines.at(-1));
		},
		write() {
			writeFileSync(new URL(name, script), `${lines.join('\n')}\n`);
		},
	};
};
