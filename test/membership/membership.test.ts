/** States of VMs in the membership, replaced VMs, and links of large fleets. */
import test from 'ava';
import fc from 'fast-check';
import {FULL_MESH_VMS, GATEWAYS_PER_DATA_CENTRE, linkPeers} from '../../src/core/membership/link-peers.js';
import {createMembership, FORGET_AFTER_MS, HEARTBEAT_TIMEOUT_MS} from '../../src/core/membership/membership.js';
import {pickByRendezvous} from '../../src/core/membership/rendezvous.js';
import {
	type HeartbeatMessage, type KnownVm, type Membership, type Vm,
} from '../../src/core/membership/types.js';

const knownVm = (id: string, extra: Partial<KnownVm> = {}): KnownVm => ({
	id, dataCentre: 'galle', control: `10.0.0.1:${id}`, admin: '', state: 'live', ...extra,
});

const self = {...knownVm('self'), incarnation: '1'};

const heartbeat = (vm: string, extra: Partial<HeartbeatMessage> = {}, incarnation = '1'): HeartbeatMessage => ({
	kind: 'heartbeat', from: {vm, dataCentre: 'galle', incarnation}, heard: [], isLeaving: false, configVersion: 0, sentMs: 1, echoMs: 0, ...extra,
});

const stateOf = (membership: Membership, id: string): string => membership.vm(id)?.state ?? 'gone';

test('a seed is joining until its first message, then alive, and suspect after the heartbeat timeout', t => {
	const membership = createMembership({self, seeds: [knownVm('a')]});
	membership.handle({kind: 'tick'}, 0);
	t.is(stateOf(membership, 'a'), 'joining');
	t.true(membership.handle(heartbeat('a'), 10));
	t.is(stateOf(membership, 'a'), 'alive');
	t.false(membership.handle({kind: 'tick'}, 10 + HEARTBEAT_TIMEOUT_MS));
	t.true(membership.handle({kind: 'tick'}, 11 + HEARTBEAT_TIMEOUT_MS));
	t.is(stateOf(membership, 'a'), 'suspect');
});

test('a VM whose link broke is suspect until its next message', t => {
	const membership = createMembership({self, seeds: []});
	membership.handle(heartbeat('a'), 10);
	membership.handle({kind: 'link_down', vm: 'a'}, 11);
	t.is(stateOf(membership, 'a'), 'suspect');
	membership.handle({kind: 'heard', from: heartbeat('a').from}, 12);
	t.is(stateOf(membership, 'a'), 'alive');
});

test('a VM is leaving as soon as its heartbeat or the list says so', t => {
	const membership = createMembership({self, seeds: []});
	membership.handle(heartbeat('a', {isLeaving: true}), 10);
	membership.handle({kind: 'list', vms: [knownVm('a'), knownVm('b', {state: 'leaving'})]}, 20);
	membership.handle(heartbeat('b'), 30);
	t.is(stateOf(membership, 'a'), 'leaving');
	t.is(stateOf(membership, 'b'), 'leaving');
});

test('a restart of a VM discards what its previous process reported and confirmed', t => {
	const membership = createMembership({self, seeds: []});
	membership.handle(heartbeat('a', {isLeaving: true, heard: ['b'], echoMs: 5}), 10);
	t.is(membership.vm('a')?.confirmedMs, 5);
	membership.handle(heartbeat('a', {}, '2'), 20);
	t.like(membership.vm('a'), {
		state: 'alive', incarnation: '2', heardSinceMs: 20, confirmedMs: undefined,
	});
	t.is(membership.vm('a')?.heard.size, 0);
});

test('a listed VM with the control address of a known VM replaces that VM', t => {
	const membership = createMembership({self, seeds: [knownVm('a', {control: '10.0.0.9:1'})]});
	membership.handle(heartbeat('a'), 10);
	membership.handle({kind: 'list', vms: [knownVm('new', {control: '10.0.0.9:1'})]}, 20);
	t.is(stateOf(membership, 'a'), 'gone');
	t.is(stateOf(membership, 'new'), 'joining');
});

test('an unlisted VM is forgotten after a time without messages, a seed is not', t => {
	const membership = createMembership({self, seeds: [knownVm('seed')]});
	membership.handle(heartbeat('a'), 10);
	membership.handle({kind: 'tick'}, 11 + FORGET_AFTER_MS);
	t.is(stateOf(membership, 'a'), 'gone');
	t.is(stateOf(membership, 'seed'), 'joining');
});

test('an echo of a clock reading in the future is not a confirmation', t => {
	const membership = createMembership({self, seeds: []});
	membership.handle(heartbeat('a', {echoMs: 1000}), 10);
	t.is(membership.vm('a')?.confirmedMs, undefined);
});

const fleetOf = (dataCentres: number, perDataCentre: number): Membership => {
	const vms = Array.from({length: dataCentres}, (_, place) => Array.from({length: perDataCentre}, (__, index) =>
		knownVm(`vm-${place}-${index}`, {dataCentre: `dc-${place}`}))).flat();
	const membership = createMembership({self: {...vms[0]!, incarnation: '1'}, seeds: vms});
	membership.handle({kind: 'tick'}, 0);
	return membership;
};

test('all VMs of a small fleet are linked with each other', t => {
	const membership = fleetOf(3, 3);
	t.is(linkPeers(membership.vms()[0]!, membership.vms(), new Set()).length, 8);
});

test('a VM of a large fleet has links within its data centre, between gateways, and to VMs that its tasks exchange messages with', t => {
	const membership = fleetOf(3, 100);
	const vms = membership.vms();
	const counts = vms.map(vm => linkPeers(vm, vms, new Set()).length);
	t.is(Math.max(...counts), 99 + (2 * GATEWAYS_PER_DATA_CENTRE));
	t.is(counts.filter(count => count > 99).length, 3 * GATEWAYS_PER_DATA_CENTRE);
	t.true(linkPeers(vms[0]!, vms, new Set(['vm-2-50'])).filter(({dataCentre}) => dataCentre === 'dc-2').some(({id}) => id === 'vm-2-50'));
	t.true(vms.length > FULL_MESH_VMS);
});

const areMutual = (vms: readonly Vm[]): boolean => {
	const links = new Set(vms.flatMap(vm => linkPeers(vm, vms, new Set()).map(peer => `${vm.id} ${peer.id}`)));
	return [...links].every(link => links.has(link.split(' ').toReversed().join(' ')));
};

test('links are mutual in fleets of all sizes', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.integer({min: 1, max: 4}), fc.integer({min: 1, max: 20}), (places, size) =>
			areMutual(fleetOf(places, size).vms())), {seed: 7, numRuns: 40});
	});
});

test('removing a VM moves only the keys that it had', t => {
	const vms = ['a', 'b', 'c', 'd', 'e'];
	const keys = Array.from({length: 1000}, (_, index) => `service-${index}`);
	const moved = keys.filter(key => pickByRendezvous(key, vms) !== pickByRendezvous(key, vms.slice(1)));
	t.true(moved.every(key => pickByRendezvous(key, vms) === 'a'));
	t.true(moved.length > 150 && moved.length < 250);
});

test('the settings\' heartbeat timeout decides when a VM is suspect', t => {
	const membership = createMembership({
		self: {
			id: 'a', dataCentre: 'colombo', control: '127.0.0.1:1', admin: '', state: 'live', incarnation: '1',
		},
		seeds: [],
		heartbeatTimeoutMs: 400,
	});
	membership.handle({kind: 'heard', from: {vm: 'b', dataCentre: 'colombo', incarnation: '1'}}, 1000);
	t.is(membership.vm('b')?.state, 'alive');
	membership.handle({kind: 'tick'}, 1401);
	t.is(membership.vm('b')?.state, 'suspect');
});
