/** A proxy before the store. All its open channels can go silent for good, without a reset; while the store is down, new ones are silent too. */
import net from 'node:net';

export const startProxy = async port => {
	const channels = new Set();
	let isDown = false;
	const server = net.createServer(caller => {
		const target = net.connect(port, '127.0.0.1');
		const channel = {isSilent: isDown};
		channels.add(channel);
		const forward = (from, to) => {
			from.on('data', bytes => {
				if (!channel.isSilent) {
					to.write(bytes);
				}
			});
			from.on('end', () => {
				if (!channel.isSilent) {
					to.end();
				}
			});
			from.on('error', () => undefined);
			from.on('close', () => {
				channels.delete(channel);
				if (!channel.isSilent) {
					to.destroy();
				}
			});
		};

		forward(caller, target);
		forward(target, caller);
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		address: `127.0.0.1:${server.address().port}`,
		/** Returns the number of channels that are silent from now on. */
		silence() {
			for (const channel of channels) {
				channel.isSilent = true;
			}

			return channels.size;
		},
		setDown(down) {
			isDown = down;
		},
	};
};
