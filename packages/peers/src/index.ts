/** Nodes and their load, as heard by datagrams. */
export {PeerTable} from './peer_table';
export type {PeerTableOptions} from './peer_table';
export {decodeDatagram, encodeDatagram} from './datagram_codec';
export {LoadBroadcast} from './load_broadcast';
export type {LoadBroadcastOptions} from './load_broadcast';
export type {Datagram, Hello, LoadNews, ServerLoadReport} from './datagram';
