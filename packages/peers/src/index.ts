/** Datagrams between nodes: membership messages and load requests. */
export {
  decodeDatagram,
  decodeTable,
  encodeDatagram,
  encodeTable,
} from './datagram_codec';
export type {
  ConfirmationDatagram,
  Datagram,
  GrantedDatagram,
  TokensDatagram,
  ExchangeDatagram,
  LoadResponse,
  LoadRequest,
  ProofEntry,
} from './datagram';
export type {NodeTable} from './datagram_codec';
