/** Creates what all tasks of one VM share: identity, clock, log and metrics. */
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {type Clock} from '../../core/clock.js';
import {type Settings} from '../../core/settings/schema.js';
import {monotonicClock} from '../monotonic-clock.js';
import {
	createLineWriter, descriptorWrite, writeHeldSync, type LineWriter,
} from '../observe/line-writer.js';
import {createLog, type Log} from '../observe/log.js';
import {createMetrics, type Metrics} from '../observe/metrics.js';

export type VmBase = {
	readonly settings: Settings;
	readonly vm: string;
	readonly dataCentre: string;
	/** Random id of this process instance. */
	readonly incarnation: string;
	readonly clock: Clock;
	/** Returns a random number, uniform in [0, 1). */
	readonly random: () => number;
	readonly log: Log;
	readonly metrics: Metrics;
};

const INCARNATION_LENGTH = 8;

/** Creates a writer to standard output that never blocks; lines that are still buffered when the process exits are written synchronously. */
const standardOutput = (): LineWriter => {
	const lines = createLineWriter({write: descriptorWrite(process.stdout.fd)});
	process.once('exit', () => {
		writeHeldSync(process.stdout.fd, lines);
	});
	return lines;
};

export const createVmBase = (settings: Settings): VmBase => ({
	settings,
	vm: settings.vm.id,
	dataCentre: settings.vm.dataCentre,
	incarnation: randomUUID().slice(0, INCARNATION_LENGTH),
	clock: monotonicClock,
	random: Math.random,
	log: createLog(settings.log.level, standardOutput().write, {vm: settings.vm.id}),
	metrics: createMetrics(),
});
