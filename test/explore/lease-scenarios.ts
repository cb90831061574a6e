/** Initial situations of the lease model, from which all sequences of actions are explored. */
import {type LeaseAction, type LeaseModelOptions, type PlatformMode} from './lease-model-types.js';

const tick = (vm: string, platform: PlatformMode): LeaseAction => ({kind: 'tick', vm, platform});
const deliver = (channel: string): LeaseAction => ({kind: 'deliver', channel});
const advance: LeaseAction = {kind: 'advance'};

type PlatformModes = Readonly<Record<string, PlatformMode>>;

/** VMs that tick, in order, and the VMs to which the frames of each are delivered. */
type FrameReceivers = Readonly<Record<string, readonly string[]>>;

/** Each VM in turn ticks and its frames are delivered; then a second passes. */
const tickRound = (modes: PlatformModes, receivers: FrameReceivers): readonly LeaseAction[] => [
	...Object.entries(receivers).flatMap(([vm, others]) => [tick(vm, modes[vm]!), ...others.map(to => deliver(`${vm}>${to}`))]),
	advance,
];

const allReceive: FrameReceivers = {a: ['b', 'c'], b: ['a', 'c'], c: ['a', 'b']};
const aPaused: FrameReceivers = {b: ['c'], c: ['b']};
/** `b` exchanges frames with both others, which receive none from each other. */
const onlyThroughB: FrameReceivers = {a: ['b'], b: ['a', 'c'], c: ['b']};

const repeat = (count: number, actions: readonly LeaseAction[]): readonly LeaseAction[] => Array.from({length: count}, () => actions).flat();

const up: PlatformModes = {a: 'up', b: 'up', c: 'up'};
const down: PlatformModes = {a: 'down', b: 'down', c: 'down'};

/** The holder `a` may hand its lease over at any time, and frames and platform responses may be lost. */
export const handOver: LeaseModelOptions = {
	vms: ['a', 'b'], holder: 'a', platform: {a: ['up', 'answer_lost'], b: ['up', 'answer_lost']}, faults: ['leave', 'lose'], maxFaults: 2,
};

/** The process of the holder `a` is paused while `b` and `c` read its row. */
export const pausedHolder: LeaseModelOptions = {
	vms: ['a', 'b', 'c'],
	holder: 'a',
	platform: {a: ['up'], b: ['up'], c: ['up']},
	faults: [],
	maxFaults: 0,
	prefix: [...tickRound(up, allReceive), ...repeat(6, tickRound(up, aPaused))],
};

/** Two VMs are partitioned from each other, but both reach the platform, and `a` renews its row. */
export const partitionedVms: LeaseModelOptions = {
	vms: ['a', 'b'],
	holder: 'a',
	platform: {a: ['up'], b: ['up']},
	faults: [],
	maxFaults: 0,
	prefix: [...tickRound(up, {a: ['b'], b: ['a']}), ...repeat(4, tickRound(up, {a: [], b: []}))],
};

/** `a` holds its lease without the platform, by the confirmation of `b` alone. `c` reaches the platform, but receives no frames from `a`. */
export const holderWithoutPlatform: LeaseModelOptions = {
	vms: ['a', 'b', 'c'],
	holder: 'a',
	platform: {a: ['down'], b: ['down'], c: ['up']},
	faults: [],
	maxFaults: 0,
	prefix: repeat(6, tickRound({a: 'down', b: 'down', c: 'up'}, onlyThroughB)),
};

/** The platform is down for all VMs, and `b`, which confirmed the holder `a`, loses its state in a restart. */
export const restartedFollower: LeaseModelOptions = {
	vms: ['a', 'b', 'c'],
	holder: 'a',
	platform: {a: ['down'], b: ['down'], c: ['down']},
	faults: ['restart'],
	maxFaults: 2,
	prefix: [
		...repeat(6, tickRound(down, onlyThroughB)),
		{kind: 'restart', vm: 'b'},
		tick('c', 'down'),
		deliver('c>b'),
		tick('b', 'down'),
		deliver('b>c'),
		advance,
	],
};

/** The process of `a` is paused before it receives frames of `b` and `c`, and the platform is down. */
export const delayedFrames: LeaseModelOptions = {
	vms: ['a', 'b', 'c'],
	holder: 'a',
	platform: {a: ['down'], b: ['down'], c: ['down']},
	faults: [],
	maxFaults: 0,
	slotLeaseMs: 0,
	prefix: [
		...repeat(4, tickRound(down, allReceive)),
		...tickRound(down, aPaused),
		deliver('b>a'),
		deliver('c>a'),
		...repeat(2, tickRound(down, aPaused)),
	],
};
