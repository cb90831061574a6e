/** Meshes on loopback for the tests of links. */
import {once, EventEmitter} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {type Frame} from '../../src/gen/jackdawwood/v1/control_pb.js';
import {startLinkMesh} from '../../src/runtime/link/mesh.js';
import {type LinkMesh, type LinkMeshOptions, type Peer} from '../../src/runtime/link/types.js';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';

export type TestMesh = {
	readonly mesh: LinkMesh;
	readonly peer: Peer;
	/** Names of the errors that ended links, in order. */
	readonly errors: readonly string[];
	/** Emits `up:VM`, `down:VM`, `error:NAME`, and `frame:VM` for frames that carry parts. */
	readonly events: EventEmitter;
};

/** Returns the middle of the range of random numbers, so that the back-off has no jitter. */
const noJitter = (): number => 0.5;

/** Whether a frame carries parts; false for the empty frame that keeps an idle link alive. */
const carriesParts = ({heartbeat, reports, claimRequests}: Frame): boolean =>
	heartbeat !== undefined || reports.length > 0 || claimRequests.length > 0;

/** Starts a mesh with short timeouts. The idle timeout is longer, since a busy machine may delay a whole test for some hundred milliseconds. */
export const startMesh = async (vm: string, options: Partial<LinkMeshOptions> = {}): Promise<TestMesh> => {
	const events = new EventEmitter(); // eslint-disable-line unicorn/prefer-event-target
	const errors: string[] = [];
	const mesh = await startLinkMesh({
		vm,
		dataCentre: 'colombo',
		incarnation: `${vm}-1`,
		listen: {host: '127.0.0.1', port: 0},
		clock: monotonicClock,
		random: noJitter,
		onReadTable: table => JSON.stringify([{table, vm}]),
		...options,
		limits: {
			tickMs: 5, keepAliveMs: 60, idleTimeoutMs: 1500, minBackoffMs: 10, maxBackoffMs: 50, fallbackDialMs: 40, ...options.limits,
		},
		hooks: {
			onLinkError(err) {
				errors.push(err.data.name);
				events.emit(`error:${err.data.name}`, err);
			},
			...options.hooks,
		},
	});
	mesh.onPeer(({vm: from, state}) => {
		events.emit(`${state}:${from}`);
	});
	mesh.onFrame((from, frame) => {
		if (carriesParts(frame)) {
			events.emit(`frame:${from.vm}`);
		}
	});
	return {
		mesh, events, errors, peer: {vm, dataCentre: 'colombo', address: mesh.address},
	};
};

/** Waits for an event, at most five seconds. */
export const event = async (mesh: TestMesh, name: string): Promise<void> => {
	await once(mesh.events, name, {signal: AbortSignal.timeout(5000)});
};

/** Links all meshes with each other. */
export const linkAll = async (...meshes: readonly TestMesh[]): Promise<void> => {
	const ups = meshes.flatMap(mesh => meshes.filter(other => other !== mesh).map(async other => event(mesh, `up:${other.peer.vm}`)));
	for (const {mesh} of meshes) {
		mesh.setPeers(meshes.map(({peer}) => peer));
	}

	await Promise.all(ups);
};

export const closeAll = async (...meshes: readonly TestMesh[]): Promise<void> => {
	await Promise.all(meshes.map(async ({mesh}) => mesh.close()));
};

/** Polls until a condition holds, at most five seconds. */
export const until = async (condition: () => boolean): Promise<void> => {
	const endMs = monotonicClock.nowMs() + 5000;
	while (!condition() && monotonicClock.nowMs() < endMs) {
		await delay(5); // eslint-disable-line no-await-in-loop
	}
};
