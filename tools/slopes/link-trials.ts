/** Measures the processor time of links between two processes at several rates, frame sizes and numbers of peers and members. */
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {toSeries} from './fit.js';
import {type LinkReply, type LinkCommand} from './link-process.js';
import {type Point, type Series} from './types.js';

const PROGRAM = fileURLToPath(new URL('link-process.js', import.meta.url));
/** Duration of the load before each measured run, so that the code under test is compiled as in a long-running process. */
const WARM_UP_SECONDS = 2;
const WARM_UP_FRAMES_PER_S = 3000;
const US_PER_MS = 1000;

type Pair = {readonly sender: ChildProcess; readonly receiver: ChildProcess; readonly close: () => void};

type Load = {readonly rate: number; readonly teams: number; readonly seconds: number; readonly spread?: boolean};

type Cost = {readonly sender: LinkReply; readonly receiver: LinkReply};

const sendCommand = async (child: ChildProcess, command: LinkCommand): Promise<LinkReply> => {
	child.send(command);
	const [answer] = await once(child, 'message') as [LinkReply]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	return answer;
};

const pairOf = (sender: ChildProcess, receiver: ChildProcess): Pair => ({
	sender,
	receiver,
	close() {
		sender.disconnect();
		receiver.disconnect();
	},
});

/** Starts one process with one mesh, linked with `peers` meshes in another process. */
const startPair = async (peers: number, echo: boolean): Promise<Pair> => {
	const sender = fork(PROGRAM);
	const receiver = fork(PROGRAM);
	const vms = Array.from({length: peers}, (_, index) => `peer-${index}`);
	await sendCommand(sender, {kind: 'start', vms: ['hub'], echo: false});
	const {addresses} = await sendCommand(receiver, {kind: 'start', vms, echo});
	await sendCommand(sender, {
		kind: 'peers', peers: vms.map((vm, index) => ({vm, dataCentre: 'colombo', address: addresses[index] ?? ''})),
	});
	return pairOf(sender, receiver);
};

const runLoad = async ({sender, receiver}: Pair, load: Load): Promise<Cost> => {
	const [sent, received] = await Promise.all([
		sendCommand(sender, {kind: 'run', spread: false, ...load}),
		sendCommand(receiver, {
			kind: 'run', rate: 0, teams: 0, seconds: load.seconds, spread: false,
		}),
	]);
	return {sender: sent, receiver: received};
};

/** Starts one process with `members` meshes, each linked with the only mesh of another process. */
const startMembers = async (members: number): Promise<Pair> => {
	const sender = fork(PROGRAM);
	const receiver = fork(PROGRAM);
	const {addresses: [address = '']} = await sendCommand(receiver, {kind: 'start', vms: ['hub'], echo: true});
	await sendCommand(sender, {kind: 'start', vms: Array.from({length: members}, (_, index) => `a-member-${index}`), echo: false});
	await sendCommand(sender, {kind: 'peers', peers: [{vm: 'hub', dataCentre: 'colombo', address}]});
	return pairOf(sender, receiver);
};

/** Runs one load on a new pair of processes with the given number of links, after a warm-up. */
const measureTrial = async (links: number, startProcesses: () => Promise<Pair>, load: Load): Promise<Cost> => {
	const pair = await startProcesses();
	try {
		await runLoad(pair, {...load, rate: WARM_UP_FRAMES_PER_S / links, seconds: WARM_UP_SECONDS});
		return await runLoad(pair, load);
	} finally {
		pair.close();
	}
};

/** Returns the milliseconds of processor time a second. */
const cpuPerS = ({cpuUs, wallMs}: LinkReply): number => cpuUs / wallMs;

/** Measures both ends of an exchange of one report and its reply at increasing rates. */
export const rateSeries = async (seconds: number): Promise<readonly Series[]> => {
	const costs: Array<{readonly rate: number; readonly cost: Cost}> = [];
	for (const rate of [0, 20, 50, 160, 500, 2000]) {
		costs.push({rate, cost: await measureTrial(1, async () => startPair(1, true), {rate, teams: 1, seconds})}); // eslint-disable-line no-await-in-loop
	}

	const pointsOf = (side: keyof Cost): readonly Point[] => costs.map(({rate, cost}) => ({
		size: rate,
		value: cpuPerS(cost[side]),
		...(rate > 0 && {extra: {usPerExchange: cpuPerS(cost[side]) * US_PER_MS / rate}}),
	}));
	return (['sender', 'receiver'] as const).map(side => toSeries({
		name: `link/rate/${side}`,
		title: `one report and one reply, ${side}`,
		variable: 'exchanges/s',
		unit: 'ms of processor time a second',
		points: pointsOf(side),
	}));
};

/** Measures exchanges of reports and replies with an increasing number of teams. */
export const sizeSeries = async (seconds: number): Promise<readonly Series[]> => {
	const rate = 50;
	const points: Point[] = [];
	const bytes: Point[] = [];
	for (const teams of [1, 10, 100, 400, 1000]) {
		const {sender} = await measureTrial(1, async () => startPair(1, true), {rate, teams, seconds}); // eslint-disable-line no-await-in-loop
		points.push({size: teams, value: cpuPerS(sender) * US_PER_MS / rate});
		bytes.push({size: teams, value: sender.bytes / (rate * seconds)});
	}

	return [
		toSeries({
			name: 'link/size/cpu', title: `one exchange, sender, at ${rate}/s`, variable: 'teams', unit: 'us', points,
		}),
		toSeries({
			name: 'link/size/bytes', title: 'one exchange, both directions', variable: 'teams', unit: 'bytes', points: bytes,
		}),
	];
};

/** Measures one VM that sends a frame to each of its peers once per tick, with an increasing number of peers. */
export const peerSeries = async (seconds: number): Promise<readonly Series[]> => {
	const rate = 10;
	const points: Point[] = [];
	const memory: Point[] = [];
	for (const peers of [1, 4, 16, 60, 120]) {
		const {sender} = await measureTrial(peers, async () => startPair(peers, false), {rate, teams: 1, seconds}); // eslint-disable-line no-await-in-loop
		points.push({size: peers, value: cpuPerS(sender) * US_PER_MS / rate, extra: {bytesPerS: sender.bytes / seconds}});
		memory.push({size: peers, value: sender.rssBytes / (1024 * 1024)});
	}

	return [
		toSeries({
			name: 'link/peers/cpu', title: `one frame to each peer per tick, ${rate} ticks/s`, variable: 'peers', unit: 'us a tick', points,
		}),
		toSeries({
			name: 'link/peers/memory', title: 'resident memory', variable: 'peers', unit: 'MiB', points: memory,
		}),
	];
};

/**
 * Measures one VM that receives a report from each member per tick and replies to each: with
 * the reports spread over the tick, and with all reports at the same time.
 */
export const memberSeries = async (seconds: number): Promise<readonly Series[]> => {
	const rate = 5;
	const series: Series[] = [];
	for (const spread of [true, false]) {
		const points: Point[] = [];
		for (const members of [2, 8, 30, 60, 120]) {
			// eslint-disable-next-line no-await-in-loop
			const {receiver} = await measureTrial(members, async () => startMembers(members), {
				rate, teams: 1, seconds, spread,
			});
			const cost = cpuPerS(receiver) * US_PER_MS / rate;
			points.push({size: members, value: cost, extra: {usPerExchange: cost / members}});
		}

		series.push(toSeries({
			name: `link/members/${spread ? 'spread' : 'together'}`,
			title: `one report from each member per tick and its reply, ${rate} ticks/s, reports ${spread ? 'spread over the tick' : 'at the same time'}`,
			variable: 'members',
			unit: 'us a tick',
			points,
		}));
	}

	return series;
};
