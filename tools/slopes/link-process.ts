/**
 * Hosts link meshes for the trials in a process of its own. The parent process sends commands:
 * `start` starts meshes, `peers` connects them, and `run` sends frames for a time. Each command
 * is replied to with a `LinkReply`.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {startLinkMesh} from '../../src/runtime/link/mesh.js';
import {type FramePart, type LinkMesh, type Peer} from '../../src/runtime/link/types.js';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';

export type LinkCommand =
	| {readonly kind: 'start'; readonly vms: readonly string[]; readonly echo: boolean}
	| {readonly kind: 'peers'; readonly peers: readonly Peer[]}
	/**
	 * Each mesh sends one frame with `teams` entries to every peer, `rate` times a second:
	 * all meshes at the same time, or spread over the period.
	 */
	| {readonly kind: 'run'; readonly rate: number; readonly teams: number; readonly seconds: number; readonly spread: boolean};

export type LinkReply = {
	readonly addresses: readonly string[];
	/** Least number of connected peers over the meshes. */
	readonly linked: number;
	/** Processor time of the run in microseconds. */
	readonly cpuUs: number;
	readonly wallMs: number;
	/** Frames and bytes of the run, sent and received, of all meshes. */
	readonly frames: number;
	readonly bytes: number;
	readonly rssBytes: number;
};

type RunCommand = Extract<LinkCommand, {kind: 'run'}>;

const meshes: LinkMesh[] = [];
let peers: readonly Peer[] = [];

const reportOf = (teams: number, seq: number): FramePart => ({
	reports: [{
		service: 'tariff', dataCentre: 'colombo', member: 'vm', seq,
		teams: Array.from({length: teams}, (_, index) => ({
			team: `team-${index}`, queued: (seq + index) % 100, meanCost: 120.5, oldestMs: seq % 1000, charged: seq * 12.5, approvalsUsed: seq,
		})),
	}],
});

/** Replies to each report with an allotment for the same number of teams, as a dispatcher does. */
const answerReports = (mesh: LinkMesh): void => {
	mesh.onFrame((from, {reports}) => {
		for (const {service, seq, teams} of reports) {
			mesh.queue(from.vm, {
				allotments: [{
					service, member: from.vm, reportSeq: seq, approvals: teams.map(({team}) => ({team, approved: seq})),
				}],
			});
			mesh.flush(from.vm);
		}
	});
};

const start = async (vms: readonly string[], echo: boolean): Promise<void> => {
	for (const vm of vms) {
		// eslint-disable-next-line no-await-in-loop
		const mesh = await startLinkMesh({
			vm, dataCentre: 'colombo', incarnation: '1', listen: {host: '127.0.0.1', port: 0}, clock: monotonicClock, random: () => 0.5, onReadTable: () => '[]',
		});
		meshes.push(mesh);
		if (echo) {
			answerReports(mesh);
		}
	}
};

const connectPeers = async (): Promise<void> => {
	for (const mesh of meshes) {
		mesh.setPeers(peers);
	}

	const isLinked = (mesh: LinkMesh): boolean => mesh.linked().length >= peers.length;
	while (!meshes.every(mesh => isLinked(mesh))) {
		await delay(10); // eslint-disable-line no-await-in-loop
	}
};

const sendRound = (senders: readonly LinkMesh[], teams: number, seq: number): void => {
	for (const mesh of senders) {
		for (const {vm} of peers) {
			mesh.queue(vm, reportOf(teams, seq));
		}

		mesh.flush();
	}
};

/** Sends reports at a constant rate; rounds that are overdue are sent at once. */
const sendReports = async ({rate, teams, seconds, spread}: RunCommand): Promise<void> => {
	const startMs = monotonicClock.nowMs();
	const groups = spread ? meshes.map(mesh => [mesh]) : [meshes];
	const steps = rate * seconds * groups.length;
	for (let step = 1; step <= steps; step++) {
		const dueMs = startMs + (step * 1000 / (rate * groups.length));
		const waitMs = dueMs - monotonicClock.nowMs();
		if (waitMs > 0) {
			await delay(waitMs); // eslint-disable-line no-await-in-loop
		}

		sendRound(groups[step % groups.length] ?? [], teams, step);
	}

	await delay(Math.max(0, startMs + (seconds * 1000) - monotonicClock.nowMs()));
};

const trafficTotals = (): {readonly frames: number; readonly bytes: number} => {
	let frames = 0;
	let bytes = 0;
	for (const mesh of meshes) {
		const stats = mesh.stats();
		frames += stats.framesSent + stats.framesReceived;
		bytes += stats.bytesSent + stats.bytesReceived;
	}

	return {frames, bytes};
};

const sendReply = (figures: Partial<LinkReply> = {}): void => {
	process.send?.({
		addresses: meshes.map(({address}) => address),
		linked: Math.min(...meshes.map(mesh => mesh.linked().length)),
		cpuUs: 0, wallMs: 0, frames: 0, bytes: 0, rssBytes: process.memoryUsage.rss(),
		...figures,
	} satisfies LinkReply);
};

const runLoad = async (command: RunCommand): Promise<void> => {
	const before = {...trafficTotals(), cpu: process.cpuUsage(), atMs: monotonicClock.nowMs()};
	await sendReports(command);
	const cpu = process.cpuUsage(before.cpu);
	const after = trafficTotals();
	sendReply({
		cpuUs: cpu.user + cpu.system,
		wallMs: monotonicClock.nowMs() - before.atMs,
		frames: after.frames - before.frames,
		bytes: after.bytes - before.bytes,
	});
};

const handle = async (command: LinkCommand): Promise<void> => {
	switch (command.kind) {
		case 'start': {
			await start(command.vms, command.echo);
			sendReply();
			break;
		}

		case 'peers': {
			({peers} = command);
			await connectPeers();
			sendReply();
			break;
		}

		case 'run': {
			await runLoad(command);
			break;
		}
	}
};

process.on('message', (command: LinkCommand) => {
	void handle(command);
});
process.on('disconnect', () => {
	process.exit();
});
