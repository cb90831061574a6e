/** Situations from which the orders of what may happen next are explored. */
import {type LeaseAction, type LeaseModelOptions, type PlatformMode} from './lease-model-types.js';

const tick = (vm: string, platform: PlatformMode): LeaseAction => ({kind: 'tick', vm, platform});
const deliver = (channel: string): LeaseAction => ({kind: 'deliver', channel});
const advance: LeaseAction = {kind: 'advance'};

type PlatformModes = Readonly<Record<string, PlatformMode>>;

/** VMs that tick one after the other, and the VMs that each one's frame reaches. */
type FrameReceivers = Readonly<Record<string, readonly string[]>>;

/** Each VM in turn ticks and is heard; then a second passes. */
const tickRound = (modes: PlatformModes, receivers: FrameReceivers): readonly LeaseAction[] => [
	...Object.entries(receivers).flatMap(([vm, others]) => [tick(vm, modes[vm]!), ...others.map(to => deliver(`${vm}>${to}`))]),
	advance,
];

const allReceive: FrameReceivers = {a: ['b', 'c'], b: ['a', 'c'], c: ['a', 'b']};
const aPaused: FrameReceivers = {b: ['c'], c: ['b']};
/** `b` hears both others, which do not hear each other. */
const onlyThroughB: FrameReceivers = {a: ['b'], b: ['a', 'c'], c: ['b']};

const repeat = (count: number, actions: readonly LeaseAction[]): readonly LeaseAction[] => Array.from({length: count}, () => actions).flat();

const up: PlatformModes = {a: 'up', b: 'up', c: 'up'};
const down: PlatformModes = {a: 'down', b: 'down', c: 'down'};

/** The holder `a` may hand its lease over at any moment. */
export const handOver: LeaseModelOptions = {
	vms: ['a', 'b'], holder: 'a', platform: {a: ['up', 'answer_lost'], b: ['up', 'answer_lost']}, faults: ['leave', 'lose'], maxFaults: 2,
};

/** The holder `a` is paused while `b` and `c` look at its row. */
export const pausedHolder: LeaseModelOptions = {
	vms: ['a', 'b', 'c'],
	holder: 'a',
	platform: {a: ['up'], b: ['up'], c: ['up']},
	faults: [],
	maxFaults: 0,
	prefix: [...tickRound(up, allReceive), ...repeat(6, tickRound(up, aPaused))],
};

/** Of two VMs cut off from each other both reach the platform; `a` renews its row. */
export const partitionedVms: LeaseModelOptions = {
	vms: ['a', 'b'],
	holder: 'a',
	platform: {a: ['up'], b: ['up']},
	faults: [],
	maxFaults: 0,
	prefix: [...tickRound(up, {a: ['b'], b: ['a']}), ...repeat(4, tickRound(up, {a: [], b: []}))],
};

/** `a` holds by word of `b` only, without the platform; `c` has it, but does not hear `a`. */
export const holderWithoutPlatform: LeaseModelOptions = {
	vms: ['a', 'b', 'c'],
	holder: 'a',
	platform: {a: ['down'], b: ['down'], c: ['up']},
	faults: [],
	maxFaults: 0,
	prefix: repeat(6, tickRound({a: 'down', b: 'down', c: 'up'}, onlyThroughB)),
};

/** As before without the platform for anybody; `b`, which confirmed `a`, restarts empty. */
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

/** `a` is paused with frames of `b` and `c` still unread; the platform is down. */
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
